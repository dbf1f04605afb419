#include "transport/entry/open_session.hpp"

#include <catch2/catch.hpp>
#include <list>
#include <optional>
#include <vector>

using namespace auburnchute;

namespace {

class idle_session final : public open_session {
public:
    explicit idle_session(session_state state) { enter(state); }

    [[nodiscard]] std::string_view request_id() const noexcept override { return ""; }
    [[nodiscard]] std::string_view upstream_id() const noexcept override { return ""; }
    void end_request() override {}
    void end_late_upload() override {}
    void abort() override {}
    void make_way() override
    {
        note_made_way();
        enter(session_state::closing);
    }
};

} // namespace

// Guards against a crowd whose ended connections keep further callers out until they close (issue 51), and
// against one connection that makes way for several callers.
TEST_CASE("the connection whose caller loses least makes way", "[entry]")
{
    using enum session_state;
    struct row {
        char const* what_;
        std::vector<session_state> sessions_; ///< The first has its state for longest.
        std::vector<std::size_t> chosen_;     ///< One after the other.
    };
    auto const r = GENERATE(row{"none if all are served", {serving, serving}, {}},
                            row{"the longest idle", {serving, idle, idle}, {1, 2}},
                            row{"an idle one before one that reads", {reading, idle, reading}, {1, 0, 2}},
                            row{"an ended one before the others", {idle, reading, closing}, {2, 0, 1}},
                            row{"the longest ended", {closing, closing}, {0, 1}});
    CAPTURE(r.what_);
    std::list<idle_session> sessions;
    std::vector<open_session*> order;
    session_set set;
    for (auto const state : r.sessions_) {
        auto const before = boot_now();
        while (boot_now() == before) { // states are told apart by the millisecond
        }
        order.push_back(&sessions.emplace_back(state));
        set.insert(order.back());
    }
    for (auto const index : r.chosen_) {
        auto* const chosen = choose_to_make_way(set);
        REQUIRE(chosen == order[index]);
        chosen->make_way();
    }
    CHECK(choose_to_make_way(set) == nullptr);
}
