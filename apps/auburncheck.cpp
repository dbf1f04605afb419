#include "exit_code.hpp"
#include "protocol/admin_view.hpp"
#include "protocol/settings.hpp"
#include "protocol/text_file.hpp"
#include "short_usage.hpp"

#include <auburnchute/error.hpp>
#include <auburnchute/tables_yaml.hpp>

#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace auburnchute;

constexpr char const* usage_text = R"(auburncheck - checks tables and settings without a network

Usage:
  auburncheck tables ROUTES POOLS [--json]
  auburncheck settings FILE... [--json]
  auburncheck (-h | --help)
  auburncheck --version

Options:
  --json      Print one JSON object on standard output.
  -h, --help  Show this text.
  --version   Show the version.

Faults are printed as file:line:column: field: message. A file named - is read from standard input.

Exit codes:
  0  no fault
  2  wrong arguments, or a file that cannot be read
  4  faults found

Examples:
  auburncheck tables routes.yaml pools.yaml
  auburncheck settings entry-a1.yaml entry-b1.yaml
)";

int show(std::vector<table_fault> const& faults, bool as_json)
{
    if (as_json) {
        std::cout << nlohmann::ordered_json{{"valid", faults.empty()}, {"faults", to_json(faults)}}.dump(2)
                  << '\n';
    } else {
        for (auto const& fault : faults) {
            std::cout << to_string(fault) << '\n';
        }
    }
    return static_cast<int>(faults.empty() ? exit_code::done : exit_code::invalid);
}

/// Takes an error of the settings reader, whose peer is `file:line:column`, apart.
table_fault to_fault(error const& fault)
{
    auto const& place = fault.peer();
    auto const column = place.rfind(':');
    auto const line = place.rfind(':', column - 1);
    auto const message = std::string_view{fault.what()}.substr(fault.step().size() + 1 + place.size() + 2);
    return {place.substr(0, line), std::stoi(place.substr(line + 1)), std::stoi(place.substr(column + 1)),
            "settings", std::string{message}};
}

std::vector<table_fault> check_settings(std::vector<std::string> const& files)
{
    std::vector<table_fault> faults;
    for (auto const& file : files) {
        auto const text = read_file(file);
        try {
            static_cast<void>(parse_settings(file, text));
        } catch (error const& fault) {
            faults.push_back(to_fault(fault));
        }
    }
    return faults;
}

int run(std::map<std::string, docopt::value> const& arguments)
{
    bool const as_json = arguments.at("--json").asBool();
    if (arguments.at("settings").asBool()) {
        return show(check_settings(arguments.at("FILE").asStringList()), as_json);
    }
    auto const routes = arguments.at("ROUTES").asString();
    auto const pools = arguments.at("POOLS").asString();
    auto const routes_text = read_file(routes);
    auto const pools_text = read_file(pools);
    return show(parse_tables(routes, routes_text, pools, pools_text).faults_, as_json);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(docopt::docopt_parse(usage_text, {argv + 1, argv + argc}));
    } catch (docopt::DocoptExitHelp const&) {
        std::cout << usage_text;
        return 0;
    } catch (docopt::DocoptExitVersion const&) {
        std::cout << "auburncheck " AUBURNCHUTE_VERSION "\n";
        return 0;
    } catch (docopt::DocoptArgumentError const& fault) {
        std::cerr << "auburncheck: " << fault.what() << "\n\n" << short_usage(usage_text) << '\n';
    } catch (std::exception const& fault) {
        std::cerr << "auburncheck: " << fault.what() << '\n';
    }
    return static_cast<int>(exit_code::usage);
}
