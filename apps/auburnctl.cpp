#include "admin_client.hpp"
#include "exit_code.hpp"
#include "protocol/admin_view.hpp"
#include "protocol/base_version.hpp"
#include "protocol/caller_key.hpp"
#include "protocol/table_diff.hpp"
#include "protocol/text_file.hpp"
#include "short_usage.hpp"

#include <auburnchute/clock.hpp>
#include <auburnchute/error.hpp>
#include <auburnchute/ids.hpp>
#include <auburnchute/tables_yaml.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <thread>

namespace {

using namespace auburnchute;
using nlohmann::json;
using nlohmann::ordered_json;

constexpr char const* usage_text = R"usage(auburnctl - controls the entry VMs of auburnchute

Usage:
  auburnctl check ROUTES POOLS [options]
  auburnctl fetch ROUTES POOLS [options]
  auburnctl diff ROUTES POOLS [options]
  auburnctl publish ROUTES POOLS --message TEXT [--base N] [--author NAME] [--wait] [options]
  auburnctl wait OFFSET [options]
  auburnctl keys grant WORKSPACE NAME [--wait] [options]
  auburnctl keys list [options]
  auburnctl keys withdraw DIGEST [--wait] [options]
  auburnctl status [options]
  auburnctl drain TARGET [--undo] [--wait] [options]
  auburnctl explain ID [options]
  auburnctl (-h | --help)
  auburnctl --version

Commands:
  check          Check the tables in two files, without a network.
  fetch          Write the tables in force to two files, for editing.
  diff           Show how the files differ from the tables in force.
  publish        Put the files in force. Refused if another version than the edited one is in force.
  wait           Wait until the change at a log offset is in force on all VMs.
  keys grant     Make a key for a workspace. The key is shown once, and only its digest is sent.
  keys list      List the keys in force by their digests.
  keys withdraw  Withdraw a key, named by its digest or at least the first 8 digits.
  status         Show members, pools, replicas, memory, shares and the position in the log.
  drain          Give an upstream no new work, or stop an entry VM as planned; --undo ends this.
  explain        Tell in plain sentences how a request, load or unload came to its outcome.

Options:
  --admin ADDRESSES  Admin addresses IP:PORT of entry VMs, separated by commas; the first that can be
                     reached is used. Default: the variable AUBURNCHUTE_ADMIN.
  --token-file FILE  File with the operator token. Default: the variable AUBURNCHUTE_TOKEN.
  --message TEXT     Why the tables change.
  --author NAME      Who changes them. Default: the variable USER.
  --base N           Version that was edited. Default: the line "# base_version: N" of ROUTES, which
                     fetch writes and publish keeps up to date.
  --wait             Wait until the change is in force on all VMs.
  --timeout SECONDS  Longest wait [default: 60].
  --undo             End a drain.
  --json             Print one JSON object on standard output.
  -h, --help         Show this text.
  --version          Show the version.

Exit codes:
  0  done; for diff: no difference
  1  diff: the files differ from the tables in force
  2  wrong arguments, or a file that cannot be read or written
  3  another version is in force than the one that was edited; nothing was changed
  4  the tables have faults; nothing was changed
  5  refused, for example an unknown workspace, digest or id; nothing was changed
  6  no entry VM or the log service is not reachable; nothing was changed
  7  the answer was lost: the change may or may not come into force; see the message
  8  the change is accepted, but not every VM has confirmed it within the timeout

Examples:
  export AUBURNCHUTE_ADMIN=10.0.0.1:7002,10.0.0.2:7002 AUBURNCHUTE_TOKEN="$(cat token)"
  auburnctl fetch routes.yaml pools.yaml
  auburnctl diff routes.yaml pools.yaml
  auburnctl publish routes.yaml pools.yaml --message "longer deadline for reviews" --wait
  auburnctl keys grant forge "build server" --wait > key.txt
  auburnctl keys withdraw 5f3a90c1 --wait
  auburnctl drain engine-a1
  auburnctl explain entry-a1-1f2e3d-42
)usage";

using arguments = std::map<std::string, docopt::value>;

/// Ends the command with a code and a message on standard error.
struct command_end {
    exit_code code_{exit_code::done};
    std::string message_;
    ordered_json details_;
};

std::string environment(char const* name)
{
    auto const* const value = std::getenv(name);
    return value == nullptr ? std::string{} : std::string{value};
}

std::optional<std::string> option(arguments const& given, std::string const& name)
{
    auto const it = given.find(name);
    return it != given.end() && it->second.isString() ? std::optional{it->second.asString()} : std::nullopt;
}

bool flag(arguments const& given, std::string const& name)
{
    auto const it = given.find(name);
    return it != given.end() && it->second.isBool() && it->second.asBool();
}

[[noreturn]] void end(exit_code code, std::string message, ordered_json details = ordered_json::object())
{
    throw command_end{code, std::move(message), std::move(details)};
}

std::uint64_t read_number(std::string const& text, std::string const& name)
{
    std::uint64_t value = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        end(exit_code::usage, name + " must be a whole number, got " + text);
    }
    return value;
}

std::vector<std::string> split_addresses(std::string const& text)
{
    std::vector<std::string> addresses;
    std::istringstream in{text};
    for (std::string item; std::getline(in, item, ',');) {
        if (!item.empty()) {
            addresses.push_back(to_string(parse_listen_address(item)));
        }
    }
    return addresses;
}

admin_client connect(arguments const& given)
{
    auto const addresses =
        split_addresses(option(given, "--admin").value_or(environment("AUBURNCHUTE_ADMIN")));
    if (addresses.empty()) {
        end(exit_code::usage, "state the admin address of an entry VM by --admin or AUBURNCHUTE_ADMIN");
    }
    auto const file = option(given, "--token-file");
    auto token = file ? read_file(*file) : environment("AUBURNCHUTE_TOKEN");
    token.erase(token.find_last_not_of(" \r\n") + 1);
    if (token.empty()) {
        end(exit_code::usage, "state the operator token by --token-file or AUBURNCHUTE_TOKEN");
    }
    if (token.find_first_of("\r\n") != std::string::npos) {
        end(exit_code::usage, "the operator token must be a single line");
    }
    return {addresses, token};
}

/// Ends the command unless the answer is 200. An answer that was lost after a change was sent is `unknown`.
json require_ok(admin_answer const& answer, bool changes)
{
    if (answer.status_ == 200) {
        return answer.body_;
    }
    bool const unknown =
        changes && (answer.status_ == 0 ? answer.sent_ : answer.body_.value("execution", "") == "unknown");
    if (unknown) {
        end(exit_code::unknown, answer.detail_ + "; the change may or may not come into force");
    }
    if (answer.status_ == 0 || answer.status_ >= 500) {
        end(exit_code::unreachable, answer.detail_);
    }
    end(exit_code::refused, answer.detail_);
}

/// \returns The offset of an accepted change.
std::uint64_t accepted_offset(json const& answer)
{
    auto const it = answer.find("offset");
    if (it == answer.end() || !it->is_number_unsigned()) {
        end(exit_code::unknown, "the VM's answer names no offset; the change may or may not come into force");
    }
    return it->get<std::uint64_t>();
}

json read_status(admin_client& client)
{
    return require_ok(client.call("GET", "/admin/v1/status"), false);
}

/// The tables that are in force, with their version.
struct in_force {
    std::uint64_t version_{};
    std::string author_;
    std::string message_;
    std::string routes_;
    std::string pools_;
    tables tables_;
};

in_force read_tables(admin_client& client)
{
    auto const body = require_ok(client.call("GET", "/admin/v1/tables"), false);
    in_force now{body.at("version").get<std::uint64_t>(),
                 body.value("author", ""),
                 body.value("message", ""),
                 body.at("routes").get<std::string>(),
                 body.at("pools").get<std::string>(),
                 {}};
    // Before the first publication there are no rows, and empty tables are not valid.
    if (now.version_ > 0) {
        now.tables_ = parse_tables("routes in force", now.routes_, "pools in force", now.pools_).tables_;
    }
    now.tables_.version_ = now.version_;
    return now;
}

struct edited {
    std::string routes_path_;
    std::string routes_;
    std::string pools_;
    tables tables_;
};

edited read_edited(arguments const& given)
{
    auto const routes = given.at("ROUTES").asString();
    auto const pools = given.at("POOLS").asString();
    edited mine{routes, read_file(routes), read_file(pools), {}};
    auto parsed = parse_tables(routes, mine.routes_, pools, mine.pools_);
    if (!parsed.faults_.empty()) {
        std::string text;
        for (auto const& fault : parsed.faults_) {
            text += (text.empty() ? "" : "\n") + to_string(fault);
        }
        end(exit_code::invalid, text, {{"faults", to_json(parsed.faults_)}});
    }
    mine.tables_ = std::move(parsed.tables_);
    return mine;
}

std::string show_changes(std::vector<table_change> const& changes)
{
    std::string text;
    for (auto const& change : changes) {
        text += to_string(change) + '\n';
    }
    return text;
}

ordered_json changes_json(std::vector<table_change> const& changes)
{
    auto list = ordered_json::array();
    for (auto const& change : changes) {
        list.push_back({{"kind", change.kind_ == change_kind::added     ? "added"
                                 : change.kind_ == change_kind::removed ? "removed"
                                                                        : "changed"},
                        {"row", change.row_},
                        {"field", change.field_},
                        {"before", change.before_},
                        {"after", change.after_}});
    }
    return list;
}

/// Prints the result on standard output, as text or as JSON.
void print(arguments const& given, std::string_view text, ordered_json const& details)
{
    if (flag(given, "--json")) {
        std::cout << details.dump(2, ' ', false, ordered_json::error_handler_t::replace) << '\n';
    } else {
        std::cout << text;
    }
    std::cout.flush();
}

std::string name_behind(std::vector<member_behind> const& behind)
{
    std::string text;
    for (auto const& member : behind) {
        text += (text.empty() ? "" : ", ") + member.vm_ + " (at offset " +
                std::to_string(member.next_offset_) + ", heard " + std::to_string(member.heard_ms_ago_) +
                " ms ago)";
    }
    return text;
}

/// Waits until every member has folded the record at the offset; progress goes to standard error.
void wait_for(admin_client& client, arguments const& given, std::uint64_t offset)
{
    auburnchute::clock const clk;
    auto const seconds = read_number(option(given, "--timeout").value_or("60"), "--timeout");
    auto const deadline = now(clk) + millis{static_cast<std::int64_t>(seconds) * 1'000};
    std::string shown;
    while (true) {
        auto const answer = client.call("GET", "/admin/v1/status");
        std::string state;
        std::set<std::string> vms;
        if (answer.status_ == 200) {
            auto const behind = members_behind(answer.body_, offset);
            if (behind.empty()) {
                std::cerr << "in force on all VMs\n";
                return;
            }
            for (auto const& member : behind) {
                vms.insert(member.vm_);
            }
            state = "not confirmed by " + name_behind(behind);
        } else {
            state = answer.detail_;
        }
        std::string progress = answer.status_ == 200 ? "waiting for" : state;
        for (auto const& vm : vms) {
            progress += " " + vm;
        }
        if (progress != shown) {
            std::cerr << progress << '\n';
            shown = progress;
        }
        if (now(clk) >= deadline) {
            end(exit_code::timeout,
                "the change at offset " + std::to_string(offset) + " is accepted, but " + state,
                {{"offset", offset}, {"not_confirmed", vms}});
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
    }
}

void wait_if_asked(admin_client& client, arguments const& given, std::uint64_t offset)
{
    if (flag(given, "--wait")) {
        wait_for(client, given, offset);
    }
}

/// An offset at or after everything that this VM has folded.
std::uint64_t offset_now(admin_client& client)
{
    auto const next = read_status(client).at("log").at("next_offset").get<std::uint64_t>();
    return next == 0 ? 0 : next - 1;
}

void check(arguments const& given)
{
    static_cast<void>(read_edited(given));
    print(given, "no faults\n", {{"valid", true}});
}

void fetch(arguments const& given)
{
    auto client = connect(given);
    auto const now_in_force = read_tables(client);
    replace_file(given.at("ROUTES").asString(),
                 with_base_version(now_in_force.routes_, now_in_force.version_));
    replace_file(given.at("POOLS").asString(), now_in_force.pools_);
    print(given, "version " + std::to_string(now_in_force.version_) + "\n",
          {{"version", now_in_force.version_}});
}

exit_code show_diff(arguments const& given)
{
    auto const mine = read_edited(given);
    auto client = connect(given);
    auto const now_in_force = read_tables(client);
    auto const changes = diff(now_in_force.tables_, mine.tables_);
    print(given, show_changes(changes),
          {{"version", now_in_force.version_}, {"changes", changes_json(changes)}});
    return changes.empty() ? exit_code::done : exit_code::differs;
}

/// Both hold the same rows in the same order.
bool holds(in_force const& now_in_force, edited const& mine)
{
    return now_in_force.version_ > 0 && same_rows(now_in_force.tables_, mine.tables_);
}

[[noreturn]] void end_conflict(in_force const& now_in_force, edited const& mine, std::uint64_t base)
{
    auto const changes = diff(now_in_force.tables_, mine.tables_);
    auto const shown = show_changes(changes);
    end(exit_code::conflict,
        "version " + std::to_string(now_in_force.version_) + " by " + now_in_force.author_ + " (" +
            now_in_force.message_ + ") is in force, but version " + std::to_string(base) +
            " was edited. Nothing was published and the files are unchanged.\nFrom the tables in force to "
            "the files:\n" +
            shown + "Fetch the tables in force into other files, carry over your changes and publish those.",
        {{"version", now_in_force.version_},
         {"base_version", base},
         {"author", now_in_force.author_},
         {"message", now_in_force.message_},
         {"changes", changes_json(changes)}});
}

/// Keeps the line `# base_version` of the routes file in step, so that the next edit starts from this
/// version.
void note_version(edited const& mine, std::uint64_t version)
{
    auto const base = base_version(mine.routes_);
    if (base && *base != version && mine.routes_path_ != "-") {
        replace_file(mine.routes_path_, with_base_version(mine.routes_, version));
    }
}

void finish_publish(admin_client& client, arguments const& given, edited const& mine, std::uint64_t version,
                    std::optional<std::uint64_t> offset, bool changed)
{
    note_version(mine, version);
    auto const text = changed ? "version " + std::to_string(version) + " is accepted\n"
                              : "no change: version " + std::to_string(version) + " holds these rows\n";
    ordered_json details{{"version", version}, {"changed", changed}};
    if (offset) {
        details["offset"] = *offset;
    }
    if (flag(given, "--wait")) {
        if (!flag(given, "--json")) {
            std::cerr << text;
        }
        wait_for(client, given, offset ? *offset : offset_now(client));
    }
    print(given, text, details);
}

std::uint64_t find_base(arguments const& given, edited const& mine)
{
    if (auto const stated = option(given, "--base")) {
        return read_number(*stated, "--base");
    }
    auto const base = base_version(mine.routes_);
    if (!base) {
        end(exit_code::usage, "state the version that was edited by --base, or start from files written by "
                              "`auburnctl fetch`; --base 0 is the first publication");
    }
    return *base;
}

/// The answer to a publication was lost: looks whether it came into force.
/// \returns The version that holds the rows. Ends the command if that is not known in time.
std::uint64_t settle_publish(admin_client& client, edited const& mine, std::uint64_t base,
                             std::string const& detail)
{
    // Longer than the daemon needs to append a batch again after a lost acknowledgement.
    constexpr int looks = 25;
    std::cerr << detail << "; looking whether the version came into force\n";
    for (int i = 0; i < looks; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
        auto const answer = client.call("GET", "/admin/v1/tables");
        if (answer.status_ != 200) {
            continue;
        }
        auto const now_in_force = read_tables(client);
        if (holds(now_in_force, mine)) {
            return now_in_force.version_;
        }
        if (now_in_force.version_ != base) {
            end_conflict(now_in_force, mine, base);
        }
    }
    end(exit_code::unknown,
        "the answer was lost, and version " + std::to_string(base) +
            " is still in force. Publish the same files again: this changes nothing if they came "
            "into force meanwhile");
}

void publish(arguments const& given)
{
    auto const mine = read_edited(given);
    auto const base = find_base(given, mine);
    auto client = connect(given);
    auto const now_in_force = read_tables(client);
    if (holds(now_in_force, mine)) {
        finish_publish(client, given, mine, now_in_force.version_, std::nullopt, false);
        return;
    }
    if (now_in_force.version_ != base) {
        end_conflict(now_in_force, mine, base);
    }
    auto author = option(given, "--author").value_or(environment("USER"));
    json const body{{"base_version", base},
                    {"author", author.empty() ? "unknown" : author},
                    {"message", given.at("--message").asString()},
                    {"routes", mine.routes_},
                    {"pools", mine.pools_}};
    auto const answer = client.call("POST", "/admin/v1/tables", body);
    if (answer.status_ == 409) {
        auto const winner = read_tables(client);
        if (holds(winner, mine)) {
            finish_publish(client, given, mine, winner.version_, std::nullopt, false);
            return;
        }
        end_conflict(winner, mine, base);
    }
    if (answer.status_ == 422) {
        end(exit_code::invalid, answer.detail_ + "\n" + answer.body_.value("faults", json::array()).dump(2),
            {{"faults", answer.body_.value("faults", json::array())}});
    }
    bool const lost = answer.status_ == 0 ? answer.sent_ : answer.body_.value("execution", "") == "unknown";
    if (lost) {
        auto const version = settle_publish(client, mine, base, answer.detail_);
        finish_publish(client, given, mine, version, std::nullopt, true);
        return;
    }
    auto const accepted = require_ok(answer, true);
    auto const offset = accepted_offset(accepted);
    finish_publish(client, given, mine, accepted.value("version", base + 1), offset,
                   accepted.value("changed", true));
}

void wait(arguments const& given)
{
    auto const offset = read_number(given.at("OFFSET").asString(), "OFFSET");
    auto client = connect(given);
    wait_for(client, given, offset);
    print(given, "", {{"offset", offset}, {"in_force", true}});
}

json read_keys(admin_client& client)
{
    return require_ok(client.call("GET", "/admin/v1/keys"), false);
}

void grant_key(arguments const& given)
{
    auto client = connect(given);
    auto const salt = read_keys(client).at("salt").get<std::string>();
    auto const workspace = given.at("WORKSPACE").asString();
    auto const name = given.at("NAME").asString();
    auto const key = make_caller_key();
    auto const digest = salted_digest(salt, key);
    auto const answer =
        client.call("POST", "/admin/v1/keys", {{"digest", digest}, {"workspace", workspace}, {"name", name}});
    bool const lost = answer.status_ == 0 ? answer.sent_ : answer.body_.value("execution", "") == "unknown";
    if (lost) {
        // The key has not been shown, so nobody can use it.
        end(exit_code::unknown,
            answer.detail_ + "; the key was not shown. Grant another one, and withdraw the digest " + digest +
                " if `auburnctl keys list` shows it",
            {{"digest", digest}});
    }
    auto const offset = accepted_offset(require_ok(answer, true));
    // The key comes out before the wait, since it would be lost if the wait ends at its timeout.
    print(given, key + "\n",
          {{"key", key}, {"digest", digest}, {"workspace", workspace}, {"name", name}, {"offset", offset}});
    std::cerr << "digest " << digest << "\nThe key is shown only now; the system stores its digest.\n";
    wait_if_asked(client, given, offset);
}

void list_keys(arguments const& given)
{
    auto client = connect(given);
    auto const answer = read_keys(client);
    print(given, show_keys(answer), {{"keys", answer.at("keys")}});
}

void withdraw_key(arguments const& given)
{
    auto client = connect(given);
    std::string digest;
    try {
        digest = find_digest(read_keys(client), given.at("DIGEST").asString());
    } catch (error const& fault) {
        end(exit_code::refused, fault.what());
    }
    auto const offset = accepted_offset(require_ok(client.call("DELETE", "/admin/v1/keys/" + digest), true));
    wait_if_asked(client, given, offset);
    print(given, "withdrawn: " + digest + "\n", {{"digest", digest}, {"offset", offset}});
}

void show_status_of_all(arguments const& given)
{
    auto client = connect(given);
    auto const status = read_status(client);
    print(given, show_status(status), status);
}

void drain(arguments const& given)
{
    auto client = connect(given);
    auto const target = given.at("TARGET").asString();
    bool const drained = !flag(given, "--undo");
    auto const offset = accepted_offset(require_ok(
        client.call("POST", "/admin/v1/drains", {{"target", target}, {"drained", drained}}), true));
    wait_if_asked(client, given, offset);
    print(given, target + (drained ? " gets no new work\n" : " gets work again\n"),
          {{"target", target}, {"drained", drained}, {"offset", offset}});
}

bool is_id(std::string const& id)
{
    return !id.empty() && std::all_of(id.begin(), id.end(), [](unsigned char c) {
        return c < 0x80 && (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.');
    });
}

void explain_id(arguments const& given)
{
    auto const id = given.at("ID").asString();
    if (!is_id(id)) {
        end(exit_code::usage, "an id consists of letters, digits, hyphens, underscores and dots");
    }
    auto client = connect(given);
    std::string failed;
    for (auto const& address : members_to_ask(read_status(client), id)) {
        auto const answer = client.call_one(address, "GET", "/admin/v1/explain/" + id);
        if (answer.status_ == 200) {
            std::string text;
            for (auto const& sentence : answer.body_.at("sentences")) {
                text += sentence.get<std::string>() + '\n';
            }
            print(given, text, answer.body_);
            return;
        }
        if (answer.status_ != 404) {
            failed += (failed.empty() ? "" : "; ") + answer.detail_;
        }
    }
    if (!failed.empty()) {
        end(exit_code::unreachable,
            "no VM that answered has a record of " + id + "; no answer came from: " + failed);
    }
    end(exit_code::refused, "no VM has a record of " + id +
                                "; a VM keeps its newest requests only, and loses them when it restarts");
}

exit_code run(arguments const& given)
{
    struct command {
        char const* name_;
        char const* subcommand_;
        void (*run_)(arguments const&);
    };
    constexpr command commands[] = {
        {"check", nullptr, check},          {"fetch", nullptr, fetch},
        {"publish", nullptr, publish},      {"wait", nullptr, wait},
        {"keys", "grant", grant_key},       {"keys", "list", list_keys},
        {"keys", "withdraw", withdraw_key}, {"status", nullptr, show_status_of_all},
        {"drain", nullptr, drain},          {"explain", nullptr, explain_id},
    };
    if (flag(given, "diff")) {
        return show_diff(given);
    }
    for (auto const& one : commands) {
        if (flag(given, one.name_) && (one.subcommand_ == nullptr || flag(given, one.subcommand_))) {
            one.run_(given);
            break;
        }
    }
    return exit_code::done;
}

int finish(arguments const& given, exit_code code, std::string const& message, ordered_json details)
{
    std::cerr << "auburnctl: " << message << '\n';
    if (flag(given, "--json")) {
        details["exit_code"] = static_cast<int>(code);
        details["error"] = message;
        std::cout << details.dump(2, ' ', false, ordered_json::error_handler_t::replace) << '\n';
    }
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char** argv)
{
    arguments given;
    try {
        given = docopt::docopt_parse(usage_text, {argv + 1, argv + argc});
        return static_cast<int>(run(given));
    } catch (docopt::DocoptExitHelp const&) {
        std::cout << usage_text;
        return 0;
    } catch (docopt::DocoptExitVersion const&) {
        std::cout << "auburnctl " AUBURNCHUTE_VERSION "\n";
        return 0;
    } catch (docopt::DocoptArgumentError const& fault) {
        std::cerr << "auburnctl: " << fault.what() << "\n\n" << short_usage(usage_text) << '\n';
        return static_cast<int>(exit_code::usage);
    } catch (command_end const& ended) {
        return finish(given, ended.code_, ended.message_, ended.details_);
    } catch (json::exception const&) {
        return finish(given, exit_code::unreachable, "the VM's answer is not as the admin interface states",
                      {});
    } catch (std::exception const& fault) {
        return finish(given, exit_code::usage, fault.what(), {});
    }
}
