#include "protocol/text_file.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <regex>
#include <set>
#include <string>

using namespace auburnchute;

namespace {

std::string const root{AUBURNCHUTE_SOURCE_DIR};

std::set<std::string> find_all(std::string const& text, std::string const& pattern)
{
    std::set<std::string> found;
    std::regex const form{pattern};
    for (auto it = std::sregex_iterator{text.begin(), text.end(), form}; it != std::sregex_iterator{}; ++it) {
        found.insert((*it)[1]);
    }
    return found;
}

std::string read_sources(std::string const& folder)
{
    std::string text;
    for (auto const& entry : std::filesystem::recursive_directory_iterator{root + "/" + folder}) {
        auto const extension = entry.path().extension();
        if (extension == ".cpp" || extension == ".hpp") {
            text += read_file(entry.path().string());
        }
    }
    return text;
}

} // namespace

// Guards against names in the code that the operators' page does not explain.
TEST_CASE("the operators' page names what the code names", "[pages]")
{
    struct row {
        char const* what_;
        char const* folder_;
        char const* pattern_;
        std::size_t least_; ///< Fewer names mean that the pattern no longer fits the code.
    };
    auto const tried = GENERATE(values<row>({
        {"metrics", "src", "\"(auburnchute_[a-z_]+)\"", 10},
        {"keys of the tables", "src/state", "\\{\"([a-z_]+)\", reader_for\\(", 25},
        {"problem types", "src/transport", "known\\{\"([a-z-]+)\"", 10},
        {"headers of answers", "src/transport",
         "set_header\\(\"((?:Auburnchute|Idempotency|Retry)-[A-Za-z-]+)\"", 4},
    }));
    auto const page = read_file(root + "/docs/OPERATING.md");
    auto const names = find_all(read_sources(tried.folder_), tried.pattern_);
    INFO(tried.what_);

    CHECK(names.size() >= tried.least_);
    for (auto const& name : names) {
        INFO(name);
        CHECK(page.find("`" + name) != std::string::npos);
    }
}

// Guards against a metric without a help text and a known label.
TEST_CASE("each metric of the code is described", "[pages]")
{
    auto const used = find_all(read_sources("src/transport"), "\"(auburnchute_[a-z_]+)\"");
    auto const described =
        find_all(read_file(root + "/src/protocol/metrics.cpp"), "description\\{\"(auburnchute_[a-z_]+)\"");

    for (auto const& name : used) {
        INFO(name);
        CHECK(described.contains(name));
    }
}

// Guards against links between the pages that lead nowhere.
TEST_CASE("links of the pages exist", "[pages]")
{
    auto const page = GENERATE(as<std::string>{}, "README.md", "docs/OPERATING.md", "docs/GLOSSARY.md");
    auto const folder = std::filesystem::path{root + "/" + page}.parent_path();
    for (auto const& target : find_all(read_file(root + "/" + page), "\\]\\(([^)#][^)]*)\\)")) {
        INFO(page << " -> " << target);
        CHECK(std::filesystem::exists(folder / target));
    }
}
