#include "protocol/openai.hpp"

#include <auburnchute/error.hpp>

#include <catch2/catch.hpp>

using namespace auburnchute;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth)
{
    return R"({"model": "m", "prompt": "p", "extra": )" + std::string(depth, '[') + std::string(depth, ']') +
           "}";
}

} // namespace

// Guards against a field that decisions read wrongly.
TEST_CASE("request fields are read", "[openai]")
{
    struct row {
        char const* body_;
        char const* model_;
        bool stream_;
        std::int64_t max_tokens_;
        std::int64_t prompt_tokens_;
        char const* prefix_;
    };
    auto const tried = GENERATE(values<row>({
        {R"({"model": "a", "messages": [{"role": "user", "content": "12345678"}]})", "a", false, 0, 2,
         "12345678"},
        {R"({"model": "a:b", "stream": true, "max_tokens": 9, "prompt": "1234"})", "a:b", true, 9, 1, "1234"},
        {R"({"model": "a", "messages": [{"content": "1234"}, {"content": "5678"}]})", "a", false, 0, 2,
         "12345678"},
        {R"({"model": "a", "messages": [{"content": [{"type": "text", "text": "1234"}]}]})", "a", false, 0, 1,
         "1234"},
        {R"({"model": "a", "messages": [{"role": "assistant", "content": null}]})", "a", false, 0, 1, ""},
        {R"({"model": "a", "prompt": ""})", "a", false, 0, 1, ""},
        {R"({"model": "a", "prompt": ["12345678"]})", "a", false, 0, 2, "12345678"},
        {R"({"model": "a", "prompt": [5, 6, 7]})", "a", false, 0, 3, "5 6 7 "},
        {R"({"model": "a", "prompt": "p", "max_tokens": null, "stream": null, "n": 1})", "a", false, 0, 1,
         "p"},
        {R"({"model": "a", "prompt": "p", "max_completion_tokens": 5})", "a", false, 5, 1, "p"},
        {R"({"model": "a", "prompt": "p", "max_completion_tokens": 5, "max_tokens": 3})", "a", false, 3, 1,
         "p"},
    }));
    INFO(tried.body_);
    auto const request = parse_chat_request(tried.body_);

    CHECK(request.model_ == tried.model_);
    CHECK(request.stream_ == tried.stream_);
    CHECK(request.max_tokens_ == tried.max_tokens_);
    CHECK(request.prompt_tokens_ == tried.prompt_tokens_);
    CHECK(request.prefix_ == tried.prefix_);
}

// Guards against a prefix that keeps a whole prompt, and against a body that changes on its way to the
// engine.
TEST_CASE("a long prompt has a short prefix and an unchanged body", "[openai]")
{
    auto body = json{{"model", "a"},
                     {"messages", {{{"role", "user"}, {"content", std::string(100'000, 'x')}}}},
                     {"temperature", 0.5}};
    auto const request = parse_chat_request(body.dump());

    CHECK(request.prefix_ == std::string(256, 'x'));
    CHECK(request.prompt_tokens_ == 25'000);
    CHECK(request.body_ == body);
}

// Guards against callers that raise their own priority or skip tokens by the engine's extra fields.
TEST_CASE("fields that only the daemon sets are dropped", "[openai]")
{
    auto const request =
        parse_chat_request(R"({"model": "a", "prompt": "p", "priority": 0, "resume_from": 7})");

    CHECK(request.body_ == json{{"model", "a"}, {"prompt", "p"}});
}

// Guards against malformed bodies that crash the daemon, pass through to an engine, or are refused without a
// reason.
TEST_CASE("malformed bodies are refused with a reason", "[openai]")
{
    auto const [body, message] = GENERATE(table<std::string, std::string>({
        {"", "not valid JSON"},
        {"{", "not valid JSON"},
        {R"({"model": "a", "messages": [{"content": "tru)", "not valid JSON"},
        {R"({"model": "a", "prompt": "p"} trailing)", "not valid JSON"},
        {R"({"model": "a", "prompt": "p", "x": 1e999})", "not valid JSON"},
        {"\xff\xfe", "not valid"},
        {"{\"model\": \"a\", \"prompt\": \"\xff\"}", "not valid UTF-8"},
        {"{\"model\": \"a\", \"prompt\": \"\xc3\"}", "not valid UTF-8"},
        {"{\"model\": \"a\", \"prompt\": \"\xed\xa0\x80\"}", "not valid UTF-8"},
        {R"({"model": "a", "prompt": "\ud800"})", "not valid JSON"},
        {"[]", "must be a JSON object"},
        {"null", "must be a JSON object"},
        {"7", "must be a JSON object"},
        {"{}", "model is missing"},
        {R"({"prompt": "p"})", "model is missing"},
        {R"({"model": "", "prompt": "p"})", "model is missing"},
        {R"({"model": 3, "prompt": "p"})", "model is missing"},
        {R"({"model": "a"})", "messages (chat) or prompt"},
        {R"({"model": "a", "messages": []})", "at least one message"},
        {R"({"model": "a", "messages": "hi"})", "at least one message"},
        {R"({"model": "a", "messages": ["hi"]})", "must be an object"},
        {R"({"model": "a", "messages": [{"content": 3}]})", "text or a list of parts"},
        {R"({"model": "a", "prompt": 3})", "prompt must be"},
        {R"({"model": "a", "prompt": []})", "prompt must be"},
        {R"({"model": "a", "prompt": ["a", "b"]})", "requests of their own"},
        {R"({"model": "a", "prompt": [[1], [2]]})", "requests of their own"},
        {R"({"model": "a", "prompt": "p", "max_tokens": -1})", "max_tokens must be"},
        {R"({"model": "a", "prompt": "p", "max_tokens": 0})", "max_tokens must be"},
        {R"({"model": "a", "prompt": "p", "max_tokens": 1.5})", "max_tokens must be"},
        {R"({"model": "a", "prompt": "p", "max_tokens": "9"})", "max_tokens must be"},
        {R"({"model": "a", "prompt": "p", "max_tokens": 18446744073709551615})", "max_tokens must be"},
        {R"({"model": "a", "prompt": "p", "max_completion_tokens": -1})", "max_completion_tokens must be"},
        {R"({"model": "a", "prompt": "p", "stream": "yes"})", "stream must be"},
        {R"({"model": "a", "prompt": "p", "n": 100})", "n must be 1"},
        {R"({"model": "a", "prompt": "p", "n": "1"})", "n must be 1"},
        {R"({"model": "a", "prompt": "p", "best_of": 2})", "best_of must be 1"},
        {nested(64), "nested deeper than 64"},
        {nested(2'000'000), "nested deeper than 64"},
    }));
    INFO(body.substr(0, 100));

    try {
        static_cast<void>(parse_chat_request(body));
        FAIL("accepted");
    } catch (error const& fault) {
        CHECK(fault.step() == "accept");
        CHECK_THAT(fault.what(), Catch::Contains(message));
    }
}

// Guards against refusals that put a caller's text into logs.
TEST_CASE("refusals do not quote the body", "[openai]")
{
    auto const body = GENERATE(as<std::string>{}, R"({"model": "a", "prompt": "secret" secret)",
                               "{\"model\": \"a\", \"prompt\": \"secret\xff\"}");
    try {
        static_cast<void>(parse_chat_request(body));
        FAIL("accepted");
    } catch (error const& fault) {
        CHECK_THAT(fault.what(), !Catch::Contains("secret"));
    }
}

// Guards against an accepted nesting that is refused, and a limit that is off by more than the documented
// levels.
TEST_CASE("moderate nesting is accepted", "[openai]")
{
    CHECK(parse_chat_request(nested(60)).body_.contains("extra"));
}

// Guards against tokens that are not booked, and against a crash on chunks of another form.
TEST_CASE("tokens of a chunk are counted", "[openai]")
{
    auto const [chunk, tokens] = GENERATE(table<std::string, std::int64_t>({
        {R"({"choices": [{"delta": {"content": "a"}}]})", 1},
        {R"({"choices": [{"delta": {"content": "a"}}, {"delta": {"content": "b"}}]})", 2},
        {R"({"choices": [{"delta": {"content": ""}}]})", 0},
        {R"({"choices": [{"delta": {"content": null}}]})", 0},
        {R"({"choices": [{"delta": {"role": "assistant"}}]})", 0},
        {R"({"choices": [{"delta": {"reasoning_content": "a"}}]})", 1},
        {R"({"choices": [{"delta": {"tool_calls": [{"index": 0}]}}]})", 1},
        {R"({"choices": [{"delta": {"tool_calls": []}}]})", 0},
        {R"({"choices": [{"text": "a"}]})", 1},
        {R"({"choices": [{"text": ""}]})", 0},
        {R"({"choices": [{"delta": 3}, 4, null]})", 0},
        {R"({"choices": {}})", 0},
        {R"({"choices": []})", 0},
        {R"({"usage": {"completion_tokens": 5}})", 0},
        {"{}", 0},
        {"[]", 0},
        {"3", 0},
        {"null", 0},
    }));
    INFO(chunk);
    CHECK(count_tokens(json::parse(chunk)) == tokens);
}

// Guards against usage that is missed, and against nonsense of an engine that is booked as a negative number.
TEST_CASE("usage is read when it is a count", "[openai]")
{
    auto const [chunk, tokens] = GENERATE(table<std::string, std::optional<std::int64_t>>({
        {R"({"usage": {"completion_tokens": 5, "prompt_tokens": 3}})", 5},
        {R"({"usage": {"completion_tokens": 0}})", 0},
        {R"({"usage": {"completion_tokens": -5}})", std::nullopt},
        {R"({"usage": {"completion_tokens": 18446744073709551615}})", std::nullopt},
        {R"({"usage": {"completion_tokens": "5"}})", std::nullopt},
        {R"({"usage": {"completion_tokens": 5.5}})", std::nullopt},
        {R"({"usage": null})", std::nullopt},
        {R"({"usage": []})", std::nullopt},
        {"{}", std::nullopt},
        {"[1]", std::nullopt},
        {"null", std::nullopt},
    }));
    INFO(chunk);
    CHECK(usage_tokens(json::parse(chunk)) == tokens);
}

// Guards against a body whose values take far more memory than its text counts for.
TEST_CASE("the memory of a JSON text is counted by its values", "[openai]")
{
    auto const [text, least, most] = GENERATE(table<std::string, std::size_t, std::size_t>({
        {R"("{[:,]}")", 8, 8},
        {R"("\"{[:,")", 8, 8},
        {"[{},{},{}]", 300, 600},
        {R"({"a":1})", 96 + 112, 400},
        {"[0,0,0,0]", 96 + 3 * 16, 400},
    }));
    INFO(text);
    CHECK(json_memory(text) >= least);
    CHECK(json_memory(text) <= most);
}
