#include "protocol/text_file.hpp"

#include <auburnchute/error.hpp>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <system_error>
#include <unistd.h>

namespace auburnchute {

std::string read_file(std::string_view path)
{
    std::ostringstream content;
    if (path == "-") {
        content << std::cin.rdbuf();
        return content.str();
    }
    std::ifstream file{std::string{path}, std::ios::binary};
    // A folder opens without an error and fails only on the first read.
    if (!file || (file.peek(), file.bad())) {
        throw error{"read", path, std::strerror(errno)};
    }
    file.clear();
    content << file.rdbuf();
    return content.str();
}

void replace_file(std::string_view path, std::string_view content)
{
    std::string const target{path};
    auto const temporary = target + "." + std::to_string(::getpid()) + ".new";
    std::ofstream file{temporary, std::ios::binary | std::ios::trunc};
    file.write(content.data(), static_cast<std::streamsize>(content.size()));
    file.close();
    // The new file keeps the permissions of the old one, if there is one.
    std::error_code ignored;
    std::filesystem::permissions(temporary, std::filesystem::status(target, ignored).permissions(), ignored);
    if (!file || std::rename(temporary.c_str(), target.c_str()) != 0) {
        auto const reason = errno;
        std::remove(temporary.c_str());
        throw error{"write", path, std::strerror(reason)};
    }
}

} // namespace auburnchute
