#include "platform/headers.hpp"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace auburnchute;
using namespace auburnchute::platform;

namespace {

request_head caller_head()
{
    request_head head;
    head.method(http::verb::post);
    head.target("/a/b?x=1");
    head.set("Host", "h.example:8221");
    head.set("X-Request-Id", "id1");
    head.set("X-Deadline-Ms", "5000");
    head.set("Api-Key", "secret");
    head.set("X-Model", "m/a3");
    head.set("X-Token-Counts", "1460,80");
    head.set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410");
    head.set("Connection", "keep-alive, X-Hop, X-Model");
    head.set("X-Hop", "1");
    head.set("X-Tenant", "forged");
    head.set("X-Hold", "forged");
    head.set("Kv-From", "forged");
    head.set("Accept", "text/event-stream");
    return head;
}

} // namespace

TEST_CASE("the header fields of a caller's request are parsed", "[platform][headers]")
{
    auto const read = parse_request_attributes(caller_head());
    CHECK(read.host_ == "h.example");
    CHECK(read.path_ == "/a/b");
    CHECK(read.key_ == "secret");
    CHECK(read.time_left_ == millis{5'000});
    CHECK(read.model_ == "m");
    CHECK(read.adapter_ == "a3");
    CHECK(read.prompt_tokens_ == 1'460);
    CHECK(read.output_tokens_ == 80);
    REQUIRE(read.prompt_parts_.size() == 2);
    CHECK(read.prompt_parts_[0].id_ == 0x5c1e07a2);
    CHECK(read.prompt_parts_[1].tokens_ == 410);
}

TEST_CASE("invalid header values of a request count as absent", "[platform][headers]")
{
    auto head = caller_head();
    head.set("X-Deadline-Ms", "soon");
    head.set("X-Token-Counts", "-1,80");
    head.set("X-Prompt-Prefix", "nothing");
    auto const read = parse_request_attributes(head);
    CHECK_FALSE(read.time_left_);
    CHECK_FALSE(read.has_token_counts_);
    CHECK(read.prompt_parts_.empty());
}

// Guards against a stream that is taken up as if its caller had not named it.
TEST_CASE("a request names the stream that it takes up and the last event of it", "[platform][headers]")
{
    auto head = caller_head();
    CHECK(parse_request_attributes(head).stream_id_.empty());
    head.set("Resumes", " 9c41d07be2a35f68 ");
    head.set("Last-Event-Id", "7");
    CHECK(parse_request_attributes(head).stream_id_ == "9c41d07be2a35f68");
    CHECK(parse_request_attributes(head).resume_after_ == "7");
}

// Guards against passing a caller's API key to an upstream, and against reserved fields forged by a caller.
TEST_CASE("an upstream gets the caller's fields without its API key and without reserved fields",
          "[platform][headers][promise-5]")
{
    auto const head = make_upstream_request_head(caller_head(), {.upstream_id_ = "i-1",
                                                                 .address_ = "10.0.0.1:80",
                                                                 .workspace_ = "w",
                                                                 .time_left_ = millis{4'900},
                                                                 .urgency_ = 2,
                                                                 .resume_after_ = "7"});
    struct row {
        std::string_view name_;
        std::string_view value_; ///< Empty: absent.
    };
    for (auto const& row :
         {row{"Api-Key", ""}, row{"X-Hop", ""}, row{"X-Hold", ""}, row{"Kv-From", ""}, row{"Connection", ""},
          row{"X-Tenant", "w"}, row{"X-Target-Instance", "i-1"}, row{"X-Deadline-Ms", "4900"},
          row{"X-Request-Priority", "2"}, row{"Last-Event-Id", "7"}, row{"X-Model", "m/a3"},
          row{"X-Request-Id", "id1"}, row{"Accept", "text/event-stream"}, row{"Host", "h.example:8221"}}) {
        CAPTURE(row.name_);
        CHECK(std::string{head[std::string{row.name_}]} == row.value_);
    }
    auto const open = make_upstream_request_head(caller_head(), {.upstream_id_ = "i-1"});
    CHECK(open.find("X-Tenant") == open.end());
}

// Guards against treating a request as not executed, and hence retrying it, without the upstream's statement.
TEST_CASE("an upstream's response states whether the request was executed", "[platform][headers][promise-9]")
{
    response_head head;
    head.result(503);
    head.set("X-Not-Executed", "1");
    head.set("X-Request-Id", "id1");
    head.set("X-Server-Load", "3,1,8");
    head.set("Keep-Alive", "timeout=5");
    auto reply = parse_response_attributes(head);
    CHECK(reply.not_run_);
    CHECK(reply.load_ == reported_load{3, 1, 8, std::nullopt});
    CHECK(reply.keep_alive_ == millis{5'000});
    CHECK_FALSE(reply.has_response_stamp_);
    response_head plain;
    plain.result(500);
    CHECK_FALSE(parse_response_attributes(plain).not_run_);
    plain.result(421);
    CHECK(parse_response_attributes(plain).not_run_);
    plain.set("Connection", "close");
    CHECK(parse_response_attributes(plain).closes_connection_);
}

// Guards against losing the stamp when an upstream names its header field in Connection.
TEST_CASE("a response keeps its response stamp and loses its hop-by-hop fields",
          "[platform][headers][promise-8]")
{
    response_head head;
    head.result(200);
    head.set("X-Response-Stamp", "3e1b");
    head.set("Connection", "keep-alive, X-Response-Stamp");
    head.set("Keep-Alive", "timeout=5");
    head.set("Transfer-Encoding", "chunked");
    auto const answer = make_caller_response_head(head);
    CHECK(answer["X-Response-Stamp"] == "3e1b");
    CHECK(answer.find("Keep-Alive") == answer.end());
    CHECK(answer.find("Transfer-Encoding") == answer.end());
}

// Guards against evidence on one prompt part that counts against others whose ids cannot be read either.
TEST_CASE("ids of prompt parts that are no numbers stay different", "[platform][headers]")
{
    auto head = caller_head();
    head.set("X-Prompt-Prefix", "zz:1,12zz:1,12:1,fffffffffffffffff0:1,fffffffffffffffff1:1");
    auto const read = parse_request_attributes(head);
    std::set<std::uint64_t> ids;
    for (auto const& part : read.prompt_parts_) {
        ids.insert(part.id_);
    }
    CHECK(ids.size() == 5);
    CHECK_FALSE(ids.contains(0));
}

// Guards against an upstream that is left alone for good, or not at all, because of a value without sense.
TEST_CASE("the time for which an upstream wants nothing is read, bounded or ignored", "[platform][headers]")
{
    struct row {
        int status_;
        char const* value_;
        std::optional<millis> time_;
    };
    for (auto const& row :
         {row{503, "2", millis{2'000}}, row{503, " 0.25 ", millis{250}}, row{503, "0", millis{0}},
          row{503, "-1", std::nullopt}, row{503, "", std::nullopt}, row{503, "soon", std::nullopt},
          row{503, "3 s", std::nullopt}, row{503, "nan", std::nullopt}, row{503, "inf", std::nullopt},
          row{503, "1e9", std::nullopt}, row{503, "Fri, 04 Dec 2026 10:00:00 GMT", std::nullopt},
          row{503, "86400", max_hold}, row{503, "99999999999999999999999999999", max_hold},
          row{429, "2", std::nullopt}, row{200, "2", std::nullopt}}) {
        CAPTURE(row.status_, row.value_);
        response_head head;
        head.result(static_cast<unsigned>(row.status_));
        head.set("Retry-After", row.value_);
        CHECK(parse_answer_signals(head).retry_after_ == row.time_);
    }
}

TEST_CASE("an upstream that leaves says so in answers of any status", "[platform][headers]")
{
    struct row {
        char const* value_;
        bool leaving_;
    };
    for (auto const& row :
         {row{"1", true}, row{" 1", true}, row{"true", true}, row{"0", false}, row{"", false}}) {
        for (auto const status : {200U, 404U, 421U, 429U, 500U, 503U}) {
            CAPTURE(row.value_, status);
            response_head head;
            head.result(status);
            head.set("Server-Leaving", row.value_);
            CHECK(parse_answer_signals(head).leaving_ == row.leaving_);
        }
    }
    CHECK_FALSE(parse_answer_signals({}).leaving_);
}

// Guards against numbers that overflow when they are added up or turned into times.
TEST_CASE("huge numbers in a caller's request count as the largest that are taken",
          "[platform][headers][odd]")
{
    for (auto const* const huge :
         {"1000000000000", "9223372036854775807", "9223372036854775808", "99999999999999999999999"}) {
        CAPTURE(huge);
        auto head = caller_head();
        head.set("X-Token-Counts", std::string{huge} + "," + huge);
        head.set("X-Deadline-Ms", huge);
        head.set("X-Length-Hint", huge);
        head.set("X-Prompt-Prefix", std::string{"5c1e07a2:"} + huge);
        auto const read = parse_request_attributes(head);
        CHECK(read.has_token_counts_);
        CHECK(read.prompt_tokens_ == max_token_count);
        CHECK(read.output_tokens_ == max_token_count);
        CHECK(read.output_tokens_hint_ == max_token_count);
        CHECK(read.time_left_ == max_time_left);
        REQUIRE(read.prompt_parts_.size() == 1);
        CHECK(read.prompt_parts_[0].tokens_ == max_token_count);
    }
}

TEST_CASE("a prompt part with an invalid number of tokens is skipped", "[platform][headers][odd]")
{
    auto head = caller_head();
    head.set("X-Prompt-Prefix", "aa:,bb:x,cc:-5,dd:7, ee: 8 ,ff:1.5");
    auto const read = parse_request_attributes(head);
    REQUIRE(read.prompt_parts_.size() == 2);
    CHECK(read.prompt_parts_[0].id_ == 0xdd);
    CHECK(read.prompt_parts_[0].tokens_ == 7);
    CHECK(read.prompt_parts_[1].id_ == 0xee);
    CHECK(read.prompt_parts_[1].tokens_ == 8);
}

// Guards against a connection that is kept for a time that overflowed.
TEST_CASE("odd values of Keep-Alive and of the load give no overflow", "[platform][headers][odd]")
{
    struct row {
        char const* value_;
        std::optional<millis> kept_;
    };
    for (auto const& row :
         {row{"timeout=5", millis{5'000}}, row{"max=3, timeout=7", millis{7'000}},
          row{"timeout=86400000", max_keep_alive}, row{"timeout=9223372036854775807", max_keep_alive},
          row{"timeout=99999999999999999999", max_keep_alive},
          row{"timeout=-9223372036854775807", std::nullopt}, row{"timeout=-1", std::nullopt},
          row{"timeout=x", std::nullopt}}) {
        CAPTURE(row.value_);
        response_head head;
        head.result(200);
        head.set("Keep-Alive", row.value_);
        CHECK(parse_response_attributes(head).keep_alive_ == row.kept_);
    }
}

// Guards against a load told by odd figures: a part of it would be taken for the whole.
TEST_CASE("an upstream's load is read if all its figures are numbers", "[platform][headers]")
{
    struct row {
        char const* told_;
        std::optional<reported_load> read_;
    };
    for (auto const& row :
         {row{"3,1,8", reported_load{3, 1, 8, std::nullopt}},
          row{"3, 1, 8, 150", reported_load{3, 1, 8, 1.5}},
          row{"9223372036854775807,0,4", reported_load{max_token_count, 0, 4, std::nullopt}},
          row{"9223372036854775807,-9223372036854775808,4", std::nullopt}, row{"3,1,0", std::nullopt},
          row{"3,1", std::nullopt}, row{"3,1,8,100,2", std::nullopt}, row{"3,1,8,x", std::nullopt},
          row{"3,1,8,0", std::nullopt}, row{"3,1,8,-5", std::nullopt}, row{"", std::nullopt}}) {
        CAPTURE(row.told_);
        response_head head;
        head.result(200);
        head.set("X-Server-Load", row.told_);
        CHECK(parse_response_attributes(head).load_ == row.read_);
    }
}
