#include "fake_admin.hpp"
#include "run_program.hpp"

#include <auburnchute/ids.hpp>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <regex>
#include <sys/socket.h>
#include <unistd.h>

using namespace auburnchute;
using namespace auburnchute::testing;
using nlohmann::json;

namespace {

std::string const routes = R"(workspaces:
  - {name: forge, rate: 100, burst: 1000}
routes:
  - {name: build-review, workspaces: [forge], model: ledger-70b, pool: large, deadline_ms: 30000}
)";

std::string const pools = R"(pools:
  - name: large
    upstreams: ["engine-*"]
    models:
      - {name: ledger-70b, memory_mb: 42000}
)";

std::string replaced(std::string text, std::string const& from, std::string const& to)
{
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string longer_deadline(std::string const& text)
{
    return replaced(text, "deadline_ms: 30000", "deadline_ms: 45000");
}

/// Runs auburnctl against the given addresses.
run_result ctl(std::string const& addresses, std::vector<std::string> const& arguments)
{
    return run_program(
        "auburnctl", arguments,
        {"AUBURNCHUTE_ADMIN=" + addresses, "AUBURNCHUTE_TOKEN=" + operator_token, "USER=olga"});
}

/// An address at which nothing listens: a port that was bound and closed again.
std::string closed_address()
{
    auto const handle = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(::bind(handle, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    ::close(handle);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

json member(std::string const& vm, std::uint64_t next_offset, std::string const& status = "live",
            std::string const& admin = "")
{
    return {{"vm", vm},         {"incarnation", "2a"},        {"admin", admin},
            {"status", status}, {"next_offset", next_offset}, {"heard_ms_ago", 1200}};
}

/// Files that auburnctl fetched from an interface where they are in force.
struct fetched {
    fetched()
    {
        admin_.publish("ines", "first", routes, pools);
        REQUIRE(ctl(admin_.address(), {"fetch", routes_, pools_}).code_ == 0);
    }

    void edit() { folder_.write("routes.yaml", longer_deadline(folder_.read("routes.yaml"))); }

    run_result publish(std::vector<std::string> const& more = {})
    {
        std::vector<std::string> arguments{"publish", routes_, pools_, "--message", "longer deadline"};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return ctl(admin_.address(), arguments);
    }

    fake_admin admin_;
    scratch_folder folder_;
    std::string routes_{folder_.file("routes.yaml")};
    std::string pools_{folder_.file("pools.yaml")};
};

} // namespace

// Guards against scripts that take wrong arguments for success.
TEST_CASE("wrong arguments end with code 2", "[auburnctl]")
{
    auto const arguments = GENERATE(values<std::vector<std::string>>({
        {},
        {"publsh"},
        {"publish", "a", "b"},
        {"keys"},
        {"keys", "grant", "forge"},
        {"status", "--verbose"},
        {"status"},
        {"status", "--admin", "localhost:80"},
        {"status", "--admin", "127.0.0.1"},
        {"status", "--admin", "127.0.0.1:1"},
        {"status", "--admin", "127.0.0.1:1", "--token-file", "/nonexistent"},
        {"check", "/nonexistent/routes.yaml", "/nonexistent/pools.yaml"},
        {"check", "/tmp", "/tmp"},
        {"wait", "soon", "--admin", "127.0.0.1:1"},
        {"explain", "../keys", "--admin", "127.0.0.1:1"},
    }));
    auto const result = run_program("auburnctl", arguments);
    INFO(result.err_);

    CHECK(result.code_ == 2);
    CHECK(result.out_.empty());
    CHECK_FALSE(result.err_.empty());
}

// Guards against a help text without the examples and exit codes that operators rely on.
TEST_CASE("help shows examples and exit codes", "[auburnctl]")
{
    auto const program = GENERATE(as<std::string>{}, "auburnctl", "auburncheck");
    auto const result = run_program(program, {"--help"});

    CHECK(result.code_ == 0);
    CHECK_THAT(result.out_, Catch::Contains("Examples:\n") && Catch::Contains("Exit codes:\n"));
    CHECK_THAT(run_program(program, {"--version"}).out_, Catch::StartsWith(program + " 0."));
}

// Guards against faults that are reported without their place.
TEST_CASE("tables are checked offline", "[auburnctl][auburncheck]")
{
    auto const program = GENERATE(as<std::string>{}, "auburnctl check", "auburncheck tables");
    auto const [routes_text, pools_text, code, place] =
        GENERATE_COPY(table<std::string, std::string, int, std::string>({
            {routes, pools, 0, ""},
            {replaced(routes, "rate: 100", "rate: -1"), pools, 4, "routes.yaml"},
            {replaced(routes, "rate: 100", "rate: fast"), pools, 4, "routes.yaml:2:25: workspaces[0].rate"},
            {replaced(routes, "rate: 100", "rat: 100"), pools, 4, "routes.yaml:2:19"},
            {routes, replaced(pools, "memory_mb: 42000", "memory_mb: 0"), 4, "pools.yaml"},
            {"", pools, 4, "routes.yaml"},
            {"\xff\xfe", pools, 4, "routes.yaml"},
        }));
    scratch_folder const folder;
    std::vector<std::string> arguments{program.substr(program.find(' ') + 1),
                                       folder.write("routes.yaml", routes_text),
                                       folder.write("pools.yaml", pools_text)};
    auto const name = program.substr(0, program.find(' '));
    auto const result = run_program(name, arguments);
    arguments.emplace_back("--json");
    auto const as_json = run_program(name, arguments);
    INFO(result.out_ << result.err_);

    CHECK(result.code_ == code);
    CHECK_THAT(result.out_ + result.err_, Catch::Contains(place));
    CHECK(as_json.code_ == code);
    auto const shown = json::parse(as_json.out_);
    CHECK(shown.value("faults", json::array()).empty() == (code == 0));
    if (code != 0) {
        CHECK_THAT(shown["faults"][0]["file"].get<std::string>(), Catch::EndsWith(".yaml"));
        CHECK(shown["faults"][0].contains("column"));
    }
}

// Guards against a hook that passes settings which the daemon refuses.
TEST_CASE("settings are checked offline", "[auburncheck]")
{
    scratch_folder const folder;
    auto const good = folder.write("good.yaml", R"(vm: entry-a1
availability_zone: occ-a
callers: {listen: "127.0.0.1:8000"}
peers: {listen: "127.0.0.1:8001"}
admin: {listen: "127.0.0.1:8002"}
log: {address: "127.0.0.1:9000"}
vm_list: {address: "127.0.0.1:9001"}
key_salt: fleet-salt
operator_token: operator-token-1
)");
    auto const bad = folder.write("bad.yaml", "vm: a\nvn: b\n");

    CHECK(run_program("auburncheck", {"settings", good}).code_ == 0);
    auto const both = run_program("auburncheck", {"settings", good, bad});
    CHECK(both.code_ == 4);
    CHECK_THAT(both.out_, Catch::Contains("bad.yaml:2:1: ") && Catch::Contains("unknown key `vn`"));
    auto const shown = json::parse(run_program("auburncheck", {"settings", bad, "--json"}).out_);
    CHECK(shown["valid"] == false);
    CHECK(shown["faults"][0]["line"] == 2);
    CHECK(run_program("auburncheck", {"settings", folder.file("none.yaml")}).code_ == 2);
}

// Guards against network code in the program that version-control hooks run.
TEST_CASE("auburncheck calls no function of the network", "[auburncheck]")
{
    scratch_folder const folder;
    auto const listing = folder.file("symbols");
    auto const command = "nm -D --undefined-only '" + std::string{AUBURNCHUTE_BINARY_DIR} +
                         "/auburncheck' > '" + listing + "'";
    REQUIRE(std::system(command.c_str()) == 0);
    auto const symbols = folder.read("symbols");

    CHECK_FALSE(symbols.empty());
    CHECK_FALSE(
        std::regex_search(symbols, std::regex{" U (socket|connect|bind|listen|sendto|getaddrinfo)(@|\n)"}));
}

// Guards against an edit that is lost, published twice, or started from a version that is not noted.
TEST_CASE("tables are fetched, compared and published", "[auburnctl][promise-13]")
{
    fetched files;
    CHECK_THAT(files.folder_.read("routes.yaml"), Catch::StartsWith("# base_version: 1\n"));
    CHECK(ctl(files.admin_.address(), {"diff", files.routes_, files.pools_}).code_ == 0);

    files.edit();
    auto const different = ctl(files.admin_.address(), {"diff", files.routes_, files.pools_});
    CHECK(different.code_ == 1);
    CHECK(different.out_ == "~ routes/build-review deadline_ms: 30000 -> 45000\n");

    auto const published = files.publish();
    INFO(published.err_);
    CHECK(published.code_ == 0);
    CHECK(published.out_ == "version 2 is accepted\n");
    CHECK(files.admin_.author_ == "olga");
    CHECK(files.admin_.message_ == "longer deadline");
    CHECK_THAT(files.folder_.read("routes.yaml"), Catch::StartsWith("# base_version: 2\n"));

    auto const again = files.publish();
    CHECK(again.code_ == 0);
    CHECK(again.out_ == "no change: version 2 holds these rows\n");
    CHECK(files.admin_.version_ == 2);
    CHECK(files.admin_.calls("POST /admin/v1/tables") == 1);
}

// Guards against a first publication that cannot be made, and one without a stated base that overwrites
// others.
TEST_CASE("files without a base version need --base", "[auburnctl]")
{
    fake_admin admin;
    scratch_folder const folder;
    std::vector<std::string> arguments{"publish", folder.write("r.yaml", routes),
                                       folder.write("p.yaml", pools), "--message", "first"};
    auto const refused = ctl(admin.address(), arguments);
    CHECK(refused.code_ == 2);
    CHECK_THAT(refused.err_, Catch::Contains("--base"));
    CHECK(admin.version_ == 0);

    arguments.insert(arguments.end(), {"--base", "0", "--author", "ines"});
    CHECK(ctl(admin.address(), arguments).code_ == 0);
    CHECK(admin.version_ == 1);
    CHECK(admin.author_ == "ines");
    CHECK(folder.read("r.yaml") == routes);
    CHECK(ctl(admin.address(), arguments).code_ == 0);
    CHECK(admin.version_ == 1);
}

// Guards against an operator who overwrites the change of another, whether it came before or during the call.
TEST_CASE("a race between operators is refused and shown", "[auburnctl][promise-13]")
{
    bool const during_the_call = GENERATE(false, true);
    fetched files;
    files.edit();
    auto const mine = files.folder_.read("routes.yaml");
    auto const theirs = replaced(routes, "rate: 100", "rate: 200");
    if (during_the_call) {
        files.admin_.before_ = [&](httplib::Request const& request, httplib::Response&) {
            if (request.method == "POST") {
                files.admin_.publish("mateo", "more for forge", theirs, pools);
            }
            return false;
        };
    } else {
        files.admin_.publish("mateo", "more for forge", theirs, pools);
    }

    auto const result = files.publish(GENERATE(values<std::vector<std::string>>({{}, {"--json"}})));

    CHECK(result.code_ == 3);
    CHECK_THAT(result.err_, Catch::Contains("version 2 by mateo (more for forge) is in force") &&
                                Catch::Contains("~ routes/build-review deadline_ms: 30000 -> 45000") &&
                                Catch::Contains("~ routes/workspaces/forge rate: 200 -> 100"));
    CHECK(files.admin_.routes_ == theirs);
    CHECK(files.folder_.read("routes.yaml") == mine);
    if (!result.out_.empty()) {
        CHECK(json::parse(result.out_)["author"] == "mateo");
    }
}

// Guards against a publication that took effect and is reported as failed because its answer was lost.
TEST_CASE("a lost answer to a publication is settled by looking", "[auburnctl]")
{
    bool const connection_cut = GENERATE(false, true);
    fetched files;
    files.edit();
    files.admin_.after_ = [&](httplib::Request const& request, httplib::Response& response) {
        if (request.method == "POST" && connection_cut) {
            fake_admin::cut(response);
        } else if (request.method == "POST") {
            fake_admin::answer_problem(response, 503,
                                       {{"detail", "not confirmed"}, {"execution", "unknown"}});
        }
    };

    auto const result = files.publish({"--wait"});
    INFO(result.err_);

    CHECK(result.code_ == 0);
    CHECK(result.out_ == "version 2 is accepted\n");
    CHECK(files.admin_.calls("POST /admin/v1/tables") == 1);
}

// Guards against codes that say "nothing was changed" when that is not known, and the other way round.
TEST_CASE("failures of a publication are told apart", "[auburnctl]")
{
    auto const [status, body, code, message] = GENERATE(table<int, json, int, std::string>({
        {503,
         {{"detail", "the log service is not reachable"}, {"execution", "not_run"}, {"step", "publish"}},
         6,
         "the log service is not reachable (step publish)"},
        {503, {{"detail", "not confirmed"}, {"execution", "unknown"}}, 7, "Publish the same files again"},
        {422,
         {{"detail", "the tables have faults"}, {"faults", {{{"file", "routes.yaml"}, {"line", 3}}}}},
         4,
         "the tables have faults"},
        {403, {{"title", "Forbidden"}}, 5, "Forbidden"},
        {401, json::object(), 5, "the operator token is not accepted"},
    }));
    fetched files;
    files.edit();
    auto const mine = files.folder_.read("routes.yaml");
    files.admin_.before_ = [&](httplib::Request const& request, httplib::Response& response) {
        if (request.method != "POST") {
            return false;
        }
        fake_admin::answer_problem(response, status, body);
        return true;
    };

    auto const result = files.publish({"--json"});

    CHECK(result.code_ == code);
    CHECK_THAT(result.err_, Catch::Contains(message));
    CHECK(json::parse(result.out_)["exit_code"] == code);
    CHECK(files.folder_.read("routes.yaml") == mine);
}

// Guards against a tool that gives up while other entry VMs can be reached, and against calls that are made
// twice.
TEST_CASE("the next VM is used if one cannot be reached", "[auburnctl]")
{
    fake_admin admin;
    auto const closed = closed_address();

    CHECK(ctl(closed + "," + admin.address(), {"status"}).code_ == 0);
    CHECK(ctl(closed + "," + admin.address(), {"drain", "engine-a1"}).code_ == 0);
    CHECK(admin.calls("POST /admin/v1/drains") == 1);

    auto const none = ctl(closed, {"status"});
    CHECK(none.code_ == 6);
    CHECK_THAT(none.err_, Catch::Contains(closed + ": not reachable"));
}

// Guards against a change that one VM made and another makes again after the first answer was lost.
TEST_CASE("a change whose answer was lost is not sent to another VM", "[auburnctl]")
{
    fake_admin first;
    fake_admin second;
    first.after_ = [](httplib::Request const& request, httplib::Response& response) {
        if (request.method == "POST") {
            fake_admin::cut(response);
        }
    };
    auto const result = ctl(first.address() + "," + second.address(), {"drain", "engine-a1"});

    CHECK(result.code_ == 7);
    CHECK(first.calls("POST /admin/v1/drains") == 1);
    CHECK(second.received().empty());
}

// Guards against an operator who believes a change to be in force everywhere while a VM has not confirmed it.
TEST_CASE("waiting names the VMs that have not confirmed", "[auburnctl][promise-13]")
{
    fake_admin admin;
    admin.other_members_ = {member("entry-b1", 5), member("entry-c1", 100), member("entry-old", 1, "gone")};
    SECTION("until the time is over")
    {
        auto const result = ctl(admin.address(), {"wait", "9", "--timeout", "1"});
        CHECK(result.code_ == 8);
        CHECK_THAT(result.err_,
                   Catch::Contains("waiting for entry-b1\n") &&
                       Catch::Contains("not confirmed by entry-b1 (at offset 5, heard 1200 ms ago)"));
        CHECK_THAT(result.err_, !Catch::Contains("entry-c1") && !Catch::Contains("entry-old"));
        auto const as_json = ctl(admin.address(), {"wait", "9", "--timeout", "0", "--json"});
        CHECK(json::parse(as_json.out_)["not_confirmed"] == json{"entry-b1"});
    }
    SECTION("until all confirmed")
    {
        int polls = 0;
        admin.before_ = [&](httplib::Request const&, httplib::Response&) {
            if (++polls == 3) {
                admin.other_members_ = {member("entry-b1", 10)};
            }
            return false;
        };
        auto const result = ctl(admin.address(), {"wait", "9"});
        CHECK(result.code_ == 0);
        CHECK_THAT(result.err_,
                   Catch::Contains("waiting for entry-b1\n") && Catch::Contains("in force on all VMs\n"));
    }
    SECTION("and a record that none has folded is not in force")
    {
        CHECK(ctl(admin.address(), {"wait", "10", "--timeout", "0"}).code_ == 8);
    }
}

// Guards against a key that leaves the tool, can be guessed, or is shown although it was not granted.
TEST_CASE("a granted key is shown once and only its digest is sent", "[auburnctl][promise-5]")
{
    fake_admin admin;
    auto const result = ctl(admin.address(), {"keys", "grant", "forge", "build server", "--wait"});
    INFO(result.err_);
    REQUIRE(result.code_ == 0);
    REQUIRE(std::regex_match(result.out_, std::regex{"ak-[0-9a-f]{64}\n"}));
    auto const key = result.out_.substr(0, result.out_.size() - 1);

    CHECK(admin.received().find(key.substr(3)) == std::string::npos);
    CHECK(result.err_.find(key.substr(3)) == std::string::npos);
    REQUIRE(admin.keys_.contains(salted_digest("fleet-salt", key)));
    CHECK(admin.keys_.begin()->second["workspace"] == "forge");
    CHECK(admin.keys_.begin()->second["name"] == "build server");

    auto const other = json::parse(ctl(admin.address(), {"keys", "grant", "forge", "x", "--json"}).out_);
    CHECK(other["key"] != key);
    CHECK(other["digest"] == salted_digest("fleet-salt", other["key"].get<std::string>()));

    auto const listed = ctl(admin.address(), {"keys", "list"});
    CHECK_THAT(listed.out_,
               Catch::Contains("build server") && Catch::Contains(salted_digest("fleet-salt", key)));
}

// Guards against a key that is shown although nobody knows whether it works.
TEST_CASE("a key that was not granted is not shown", "[auburnctl]")
{
    fake_admin admin;
    auto const refused = ctl(admin.address(), {"keys", "grant", "nobody", "x"});
    CHECK(refused.code_ == 5);
    CHECK_THAT(refused.err_, Catch::Contains("workspace nobody does not exist"));
    CHECK(refused.out_.empty());

    admin.after_ = [](httplib::Request const& request, httplib::Response& response) {
        if (request.method == "POST") {
            fake_admin::cut(response);
        }
    };
    auto const lost = ctl(admin.address(), {"keys", "grant", "forge", "x"});
    CHECK(lost.code_ == 7);
    CHECK(lost.out_.empty());
    CHECK_THAT(lost.err_, Catch::Contains("withdraw the digest " + admin.keys_.begin()->first));
}

// Guards against the withdrawal of a key that was not meant.
TEST_CASE("a key is withdrawn by its digest or the beginning of it", "[auburnctl][promise-6]")
{
    std::string const first(64, 'a');
    auto const second = "aaaaaaaab" + std::string(55, '0');
    auto const [text, code, left] = GENERATE_COPY(table<std::string, int, std::size_t>({
        {first, 0, 1},
        {"aaaaaaaab", 0, 1},
        {"aaaaaaaa", 5, 2},
        {"aaa", 5, 2},
        {"bbbbbbbb", 5, 2},
        {first + "a", 5, 2},
    }));
    fake_admin admin;
    for (auto const& digest : {first, second}) {
        admin.keys_[digest] = {{"digest", digest}, {"workspace", "forge"}, {"name", "x"}};
    }
    auto const result = ctl(admin.address(), {"keys", "withdraw", text});

    CHECK(result.code_ == code);
    CHECK(admin.keys_.size() == left);
}

// Guards against a status that leaves out what operators look for first.
TEST_CASE("status shows all sections", "[auburnctl]")
{
    fake_admin admin;
    admin.other_members_ = {member("entry-b1", 5)};
    auto const result = ctl(admin.address(), {"status"});

    CHECK(result.code_ == 0);
    for (auto const* const part : {"VM entry-a1, incarnation 1f, ready: yes, authority: fresh_log",
                                   "next offset 10, read 35 ms ago", "shares: version 4\n", "entry-b1",
                                   "large", "oldest wait ms", "Replicas\n  none\n", "42000", "111112"}) {
        CHECK_THAT(result.out_, Catch::Contains(part));
    }
    CHECK(json::parse(ctl(admin.address(), {"status", "--json"}).out_)["share_version"] == 4);
}

// Guards against a drain that is started when it should end.
TEST_CASE("a drain is set and ended", "[auburnctl]")
{
    auto const [arguments, sent] = GENERATE(table<std::vector<std::string>, std::string>({
        {{"drain", "engine-a1"}, R"({"drained":true,"target":"engine-a1"})"},
        {{"drain", "engine-a1", "--undo", "--wait"}, R"({"drained":false,"target":"engine-a1"})"},
    }));
    fake_admin admin;

    CHECK(ctl(admin.address(), arguments).code_ == 0);
    CHECK(admin.calls("POST /admin/v1/drains " + sent) == 1);
}

// Guards against an explanation that is not found because the wrong VM was asked.
TEST_CASE("explain asks the VM that knows the id", "[auburnctl]")
{
    fake_admin admin;
    fake_admin other;
    other.explanations_["entry-b1-2a-7"] = {{"id", "entry-b1-2a-7"}, {"sentences", {"One.", "Two."}}};
    other.explanations_["r-1"] = {{"id", "r-1"}, {"sentences", {"Three."}}};
    admin.other_members_ = {member("entry-b1", 5, "live", other.address()),
                            member("entry-gone", 5, "gone", closed_address())};

    auto const found = ctl(admin.address(), {"explain", "entry-b1-2a-7"});
    CHECK(found.code_ == 0);
    CHECK(found.out_ == "One.\nTwo.\n");
    CHECK(admin.calls("GET /admin/v1/explain") == 0);
    CHECK(ctl(admin.address(), {"explain", "r-1"}).out_ == "Three.\n");
    CHECK(json::parse(ctl(admin.address(), {"explain", "r-1", "--json"}).out_)["id"] == "r-1");
    CHECK(ctl(admin.address(), {"explain", "entry-a1-1f-9"}).code_ == 5);

    admin.other_members_.push_back(member("entry-c1", 5, "live", closed_address()));
    auto const missing = ctl(admin.address(), {"explain", "entry-c1-3b-9"});
    CHECK(missing.code_ == 6);
    CHECK_THAT(missing.err_, Catch::Contains("not reachable"));
}

// Guards against a crash on answers that are not as documented.
TEST_CASE("malformed answers end with a message", "[auburnctl]")
{
    auto const body = GENERATE(as<std::string>{}, "", "{", "[]", "null", "{\"members\": 3}", "\xff",
                               "{\"log\": []}", std::string(1'000'000, '['));
    auto const arguments = GENERATE(values<std::vector<std::string>>(
        {{"status"}, {"keys", "list"}, {"keys", "grant", "forge", "x"}, {"explain", "entry-a1-1f-9"}}));
    fake_admin admin;
    admin.before_ = [&](httplib::Request const&, httplib::Response& response) {
        response.status = 200;
        response.set_content(body, "application/json");
        return true;
    };
    auto const result = ctl(admin.address(), arguments);
    INFO(result.err_);

    CHECK(result.code_ == 6);
    CHECK_THAT(result.err_, Catch::Contains("auburnctl: "));
}

// Guards against a token that is read with its line end, which every daemon would refuse.
TEST_CASE("the operator token is read from a file", "[auburnctl]")
{
    auto const [content, code] = GENERATE_COPY(table<std::string, int>({{operator_token + "\n", 0},
                                                                        {operator_token, 0},
                                                                        {"wrong-token", 5},
                                                                        {"", 2},
                                                                        {"a\r\nX-Header: b", 2}}));
    fake_admin admin;
    scratch_folder const folder;

    CHECK(run_program("auburnctl",
                      {"status", "--admin", admin.address(), "--token-file", folder.write("token", content)})
              .code_ == code);
}
