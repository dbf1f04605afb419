#include "protocol/openai.hpp"

#include <auburnchute/error.hpp>

#include <algorithm>
#include <limits>

namespace auburnchute {

namespace {

using nlohmann::json;

// The parser keeps its own stack, but writing a value out again is recursive; a few million open brackets in
// one body would overflow the thread's stack there.
constexpr int max_depth = 64;
constexpr std::size_t prefix_bytes = 256;
constexpr std::int64_t bytes_per_token = 4;

[[noreturn]] void refuse(std::string const& message)
{
    throw error{"accept", "", message};
}

json parse_json(std::string_view body)
{
    auto const check_depth = [](int depth, json::parse_event_t event, json&) {
        bool const opens =
            event == json::parse_event_t::object_start || event == json::parse_event_t::array_start;
        if (opens && depth >= max_depth) {
            refuse("the body is nested deeper than " + std::to_string(max_depth) + " levels");
        }
        return true;
    };
    try {
        return json::parse(body.begin(), body.end(), check_depth);
    } catch (json::parse_error const& fault) {
        // The parser's own message quotes the body, which does not belong into logs.
        bool const utf8 = std::string_view{fault.what()}.find("UTF-8") != std::string_view::npos;
        refuse(std::string{utf8 ? "the body is not valid UTF-8" : "the body is not valid JSON"} +
               " at byte " + std::to_string(fault.byte));
    } catch (json::exception const&) {
        refuse("the body is not valid JSON: a number is out of range");
    }
}

json const* find_member(json const& object, char const* name)
{
    auto const it = object.find(name);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}

std::int64_t read_limit(json const& value, std::string const& name)
{
    bool const fits = value.is_number_integer() &&
                      (!value.is_number_unsigned() ||
                       value.get<std::uint64_t>() <= std::uint64_t{std::numeric_limits<std::int64_t>::max()});
    if (!fits || value.get<std::int64_t>() < 1) {
        refuse(name + " must be an integer of at least 1");
    }
    return value.get<std::int64_t>();
}

/// Adds the text of a message or prompt. The size counts everything, the kept text only what the prefix
/// needs.
class prompt_reader {
public:
    void add(std::string_view text)
    {
        bytes_ += static_cast<std::int64_t>(text.size());
        if (prefix_.size() < prefix_bytes) {
            prefix_ += text.substr(0, prefix_bytes - prefix_.size());
        }
    }

    void add_strings(json const& value)
    {
        if (value.is_string()) {
            add(value.get_ref<std::string const&>());
        } else if (value.is_array()) {
            for (auto const& item : value) {
                add_strings(item);
            }
        } else if (value.is_object()) {
            for (auto const& [name, item] : value.items()) {
                // The kind of a part is the same for all requests and would only dilute the prefix.
                if (name != "type") {
                    add_strings(item);
                }
            }
        }
    }

    std::int64_t bytes_{};
    std::string prefix_;
};

void read_messages(json const& messages, prompt_reader& prompt)
{
    if (!messages.is_array() || messages.empty()) {
        refuse("messages must be a list with at least one message");
    }
    for (auto const& message : messages) {
        if (!message.is_object()) {
            refuse("each message must be an object");
        }
        auto const* const content = find_member(message, "content");
        if (content != nullptr && !content->is_string() && !content->is_array()) {
            refuse("the content of a message must be a text or a list of parts");
        }
        if (content != nullptr) {
            prompt.add_strings(*content);
        }
    }
}

void read_prompt(json const& value, prompt_reader& prompt)
{
    if (value.is_string()) {
        prompt.add(value.get_ref<std::string const&>());
        return;
    }
    if (!value.is_array() || value.empty()) {
        refuse("prompt must be a text or a list of token numbers");
    }
    if (value.size() == 1 && value.front().is_string()) {
        prompt.add(value.front().get_ref<std::string const&>());
        return;
    }
    for (auto const& token : value) {
        if (!token.is_number_integer()) {
            refuse(
                "prompt must hold one text or token numbers; send further prompts as requests of their own");
        }
        prompt.add(token.dump() + ' ');
    }
    prompt.bytes_ = static_cast<std::int64_t>(value.size()) * bytes_per_token;
}

} // namespace

std::size_t json_memory(std::string_view text) noexcept
{
    // As the library and its allocator take them: a value with an empty object or list, a member's node with
    // a short name, and a list's element with the room that a growing list keeps.
    constexpr std::size_t container_bytes = 96;
    constexpr std::size_t member_bytes = 112;
    constexpr std::size_t element_bytes = 48;
    std::size_t sum = text.size(); // of the texts themselves
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        char const c = text[i];
        if (quoted) {
            quoted = c != '"';
            i += c == '\\' ? 1 : 0;
            continue;
        }
        quoted = c == '"';
        sum += c == '{' || c == '[' ? container_bytes
               : c == ':'           ? member_bytes
               : c == ','           ? element_bytes
                                    : 0;
    }
    return sum;
}

chat_request parse_chat_request(std::string_view body)
{
    chat_request request;
    request.body_ = parse_json(body);
    auto& fields = request.body_;
    if (!fields.is_object()) {
        refuse("the body must be a JSON object");
    }
    auto const* const model = find_member(fields, "model");
    if (model == nullptr || !model->is_string() || model->get_ref<std::string const&>().empty()) {
        refuse("model is missing; name the model as `base` or `base:adapter`");
    }
    request.model_ = model->get<std::string>();
    if (auto const* const stream = find_member(fields, "stream")) {
        if (!stream->is_boolean()) {
            refuse("stream must be true or false");
        }
        request.stream_ = stream->get<bool>();
    }
    for (auto const* const name : {"max_tokens", "max_completion_tokens"}) {
        if (auto const* const limit = find_member(fields, name)) {
            auto const value = read_limit(*limit, name);
            request.max_tokens_ = request.max_tokens_ == 0 ? value : std::min(request.max_tokens_, value);
        }
    }
    for (auto const* const name : {"n", "best_of"}) {
        if (auto const* const completions = find_member(fields, name); completions && *completions != 1) {
            refuse(std::string{name} + " must be 1; send further completions as requests of their own");
        }
    }
    prompt_reader prompt;
    if (auto const* const messages = find_member(fields, "messages")) {
        read_messages(*messages, prompt);
    } else if (auto const* const text = find_member(fields, "prompt")) {
        read_prompt(*text, prompt);
    } else {
        refuse("messages (chat) or prompt (plain completion) is missing");
    }
    request.prompt_tokens_ = std::max<std::int64_t>(1, prompt.bytes_ / bytes_per_token);
    request.prefix_ = std::move(prompt.prefix_);
    fields.erase("priority");
    fields.erase("resume_from");
    return request;
}

namespace {

bool has_text(json const& object, char const* name)
{
    auto const it = object.find(name);
    return it != object.end() && (it->is_string() || it->is_array()) && !it->empty() &&
           !(it->is_string() && it->get_ref<std::string const&>().empty());
}

bool carries_token(json const& choice)
{
    if (!choice.is_object()) {
        return false;
    }
    if (has_text(choice, "text")) {
        return true;
    }
    auto const delta = choice.find("delta");
    return delta != choice.end() && delta->is_object() &&
           (has_text(*delta, "content") || has_text(*delta, "reasoning_content") ||
            has_text(*delta, "tool_calls"));
}

} // namespace

std::int64_t count_tokens(json const& chunk)
{
    if (!chunk.is_object()) {
        return 0;
    }
    auto const choices = chunk.find("choices");
    if (choices == chunk.end() || !choices->is_array()) {
        return 0;
    }
    return std::count_if(choices->begin(), choices->end(), carries_token);
}

std::optional<std::int64_t> usage_tokens(json const& chunk)
{
    if (!chunk.is_object()) {
        return std::nullopt;
    }
    auto const usage = chunk.find("usage");
    if (usage == chunk.end() || !usage->is_object()) {
        return std::nullopt;
    }
    auto const tokens = usage->find("completion_tokens");
    if (tokens == usage->end() || !tokens->is_number_integer()) {
        return std::nullopt;
    }
    // Above the range of a signed number, `get` would wrap to a negative count.
    auto const value = tokens->get<std::int64_t>();
    return value < 0 ? std::nullopt : std::optional{value};
}

} // namespace auburnchute
