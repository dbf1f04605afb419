#include "transport/entry/event_stream.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace auburnchute;

// Guards against passing on a part of an event: a stream that goes on elsewhere would repeat or join pieces.
TEST_CASE("only whole events are passed on, unchanged, however the bytes arrive", "[stream][promise-8]")
{
    CHECK(rc::check([] {
        std::string whole;
        auto const events = *rc::gen::inRange(1, 8);
        for (int i = 0; i < events; ++i) {
            whole += "id: " + std::to_string(i) +
                     "\ndata: " + std::string(static_cast<std::size_t>(i * 7), 'x') +
                     (i % 2 == 0 ? "\n\n" : "\r\n\r\n");
        }
        auto const cut = *rc::gen::inRange<std::size_t>(0, whole.size() + 1);
        event_cutter cutter;
        std::string passed;
        std::size_t at = 0;
        while (at < cut) {
            auto const size = std::min(*rc::gen::inRange<std::size_t>(1, 20), cut - at);
            passed += feed_events(cutter, std::string_view{whole}.substr(at, size));
            at += size;
        }
        RC_ASSERT(whole.starts_with(passed));
        RC_ASSERT(passed + cutter.pending_ == whole.substr(0, cut));
        RC_ASSERT(passed.empty() || passed.ends_with("\n\n") || passed.ends_with("\r\n\r\n"));
    }));
}

TEST_CASE("the id of an event is found wherever it stands", "[stream]")
{
    struct row {
        std::string_view event_;
        std::optional<std::string_view> id_;
    };
    for (auto const& row :
         {row{"id: 7\ndata: x\n\n", "7"}, row{"data: x\nid:8\n\n", "8"},
          row{"x-weight-versions: 2\nid: 9\r\ndata: y\r\n\r\n", "9"}, row{"data: id: 3\n\n", std::nullopt},
          row{"id: 3\nid: 9\ndata: x\n\n", "9"}, row{"id:  7 \n\n", "7"}, row{"id:\n\n", ""},
          row{"id\n\n", ""}, row{"id: 3\nid\n\n", ""}, row{"idx: 3\nID: 4\n id: 5\nid : 6\n\n", std::nullopt},
          row{":id: 3\n\n", std::nullopt}}) {
        CAPTURE(row.event_);
        CHECK(event_id(row.event_) == row.id_);
    }
}

// Guards against comparing ids that are no numbers as if they were some.
TEST_CASE("an id is a number if it has digits only and is not too large", "[stream][order]")
{
    struct row {
        std::string_view id_;
        std::optional<std::int64_t> number_;
    };
    for (auto const& row : {row{"0", 0}, row{"007", 7}, row{"9223372036854775807", 9'223'372'036'854'775'807},
                            row{"9223372036854775808", std::nullopt}, row{"", std::nullopt},
                            row{"-1", std::nullopt}, row{"+1", std::nullopt}, row{"1x", std::nullopt},
                            row{"1 2", std::nullopt}, row{"0x1", std::nullopt}}) {
        CAPTURE(row.id_);
        CHECK(event_number(row.id_) == row.number_);
    }
}

// Guards against two events that are taken for one, whose second id is not compared, and against a whole
// stream that seems to end inside an event.
TEST_CASE("an event ends with a blank line, whatever its line ends", "[stream][order]")
{
    for (std::string const end : {"\n\n", "\r\n\r\n", "\n\r\n", "\r\n\n", "\n\n\n", "\r\n\r\n\r\n"}) {
        CAPTURE(end);
        event_cutter cutter;
        auto const passed = feed_events(cutter, "id: 1" + end + "id: 2" + end);
        CHECK(passed == "id: 1" + end + "id: 2" + end);
        CHECK(cutter.pending_.empty());
        std::string_view rest{passed};
        CHECK(event_id(next_event(rest)) == "1");
        CHECK(rest.ends_with("id: 2" + end));
    }
}

// Guards against a piece that is missing or comes twice, whatever an upstream sends.
TEST_CASE("what is passed on of any events follows what the caller has", "[stream][order]")
{
    CHECK(rc::check([] {
        auto const last = *rc::gen::inRange<std::int64_t>(0, 4);
        bool const is_new = *rc::gen::arbitrary<bool>();
        event_sequence sequence{.caller_last_ = is_new ? std::nullopt : std::optional{last},
                                .run_last_ = std::nullopt};
        std::vector<std::int64_t> passed;
        for (auto const event : *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange(-1, 8))) {
            bool const has_number = event >= 0;
            auto const verdict = judge_event(
                sequence, (has_number ? "id: " + std::to_string(event) + "\n" : "") + "data: x\n\n");
            if (verdict == event_verdict::out_of_order) {
                break;
            }
            RC_ASSERT((has_number || is_new));
            if (verdict == event_verdict::skip) {
                RC_ASSERT((!is_new && event == last && passed.empty()));
            } else if (has_number) {
                passed.push_back(event);
            }
        }
        for (std::size_t i = 0; i < passed.size(); ++i) {
            auto const before = i == 0 ? last : passed[i - 1];
            bool const follows = is_new ? i == 0 || passed[i] > before : passed[i] == before + 1;
            RC_ASSERT(follows);
        }
    }));
}
