#pragma once

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace auburnchute::testing {

/// A folder that is removed at the end of the test.
class scratch_folder {
public:
    scratch_folder()
    {
        auto name = (std::filesystem::temp_directory_path() / "auburnchute-XXXXXX").string();
        path_ = ::mkdtemp(name.data());
    }
    scratch_folder(scratch_folder const&) = delete;
    scratch_folder& operator=(scratch_folder const&) = delete;
    ~scratch_folder() { std::filesystem::remove_all(path_); }

    [[nodiscard]] std::string file(std::string const& name) const { return (path_ / name).string(); }

    std::string write(std::string const& name, std::string const& content) const
    {
        std::ofstream{file(name), std::ios::binary} << content;
        return file(name);
    }

    [[nodiscard]] std::string read(std::string const& name) const
    {
        std::ostringstream content;
        content << std::ifstream{file(name), std::ios::binary}.rdbuf();
        return content.str();
    }

private:
    std::filesystem::path path_;
};

struct run_result {
    int code_{-1};
    std::string out_;
    std::string err_;
};

/// Runs one of the built programs to its end. \param environment Assignments, for example `A=b`.
inline run_result run_program(std::string const& program, std::vector<std::string> const& arguments,
                              std::vector<std::string> const& environment = {})
{
    auto const quoted = [](std::string const& text) {
        std::string shown{"'"};
        for (char const c : text) {
            shown += c == '\'' ? std::string{"'\\''"} : std::string{c};
        }
        return shown + "'";
    };
    scratch_folder const scratch;
    std::string command{"env -u AUBURNCHUTE_ADMIN -u AUBURNCHUTE_TOKEN"};
    for (auto const& one : environment) {
        command += " " + quoted(one);
    }
    command += " " + quoted(std::string{AUBURNCHUTE_BINARY_DIR} + "/" + program);
    for (auto const& one : arguments) {
        command += " " + quoted(one);
    }
    command += " < /dev/null 2> " + quoted(scratch.file("err"));
    run_result result;
    auto* const pipe = ::popen(command.c_str(), "r");
    std::array<char, 4096> buffer{};
    for (std::size_t n = 0; (n = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;) {
        result.out_.append(buffer.data(), n);
    }
    auto const status = ::pclose(pipe);
    result.code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    result.err_ = scratch.read("err");
    return result;
}

} // namespace auburnchute::testing
