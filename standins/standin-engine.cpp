#include "standin.hpp"

#include <array>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <optional>
#include <set>
#include <vector>

using namespace standins;

namespace {

constexpr char usage[] = R"(Stand-in for a model engine on an accelerator VM.

Usage:
  standin-engine [options]

Options:
  --listen IP:PORT          Address to bind; port 0 is picked by the kernel [default: 127.0.0.1:0].
  --name NAME               Name shown in answers [default: engine].
  --vm-instance ID          Instance of the VM [default: engine-1].
  --memory-mb N             Accelerator memory for weights [default: 80000].
  --honours-fencing         Refuse orders with an old fencing number.
  --checks-sender           Require a signature on orders.
  --order-key KEY           Key of the signature [default: ].
  --store IP:PORT           Weight store; without it, loads from the store take --load-ms only [default: ].
  --slots N                 Requests of one model that run at the same time [default: 8].
  --queue N                 Requests of one model that wait beyond the slots [default: 0].
  --token-ms MS             Time for each token [default: 20].
  --answer-tokens N         Length of an answer, at most max_tokens; 0: max_tokens [default: 0].
  --load-ms MS              Time to load a model once its weights are on the VM [default: 500].
  --memory-cache N          Models kept in host memory; they load in a tenth of --load-ms [default: 2].
  --disk-cache N            Models kept on the VM's disk [default: 8].
  --report-lag-ms MS        Age of the reports [default: 200].
  --resumes-streams         Continue streams by resume_from.
  --software-version TEXT   Version of the engine's software; its answers' text depends on it [default: ].
  --help                    Show this text.
)";

constexpr millis report_sample{20};
constexpr millis cross_wait{5'000};
constexpr std::int64_t adapter_load_ms = 1;
constexpr std::int64_t default_max_tokens = 16;
constexpr std::array vocabulary{"the",  "batch", "holds",  "seven", "lines", "of",    "print", "with",
                                "blue", "dye",   "before", "cut",   "and",   "press", "are",   "checked"};

struct engine_settings {
    std::string name_;
    std::string vm_instance_;
    std::int64_t memory_mb_{};
    bool honours_fencing_{};
    bool checks_sender_{};
    std::string order_key_;
    std::string store_;
    std::int64_t slots_{};
    std::int64_t queue_{};
    std::int64_t token_ms_{};
    std::int64_t answer_tokens_{};
    std::int64_t load_ms_{};
    std::size_t memory_cache_{};
    std::size_t disk_cache_{};
    std::int64_t report_lag_ms_{};
    bool resumes_streams_{};
    std::string software_version_;
};

/// Status and body of an answer.
struct reply {
    int status_{200};
    json body_;
};

reply refusal(int status, std::string_view code, std::string_view message)
{
    return {status, {{"error", {{"code", code}, {"message", message}}}}};
}

/// Result of a load, shared by the order that runs it and its repeats.
struct load_result {
    bool ended_{};
    reply reply_;
};

struct held_replica {
    std::string model_;
    std::string adapter_;
    std::int64_t memory_mb_{};
    bool loaded_{};
    std::shared_ptr<load_result> result_;
};

std::string full_name(std::string const& model, std::string const& adapter)
{
    return adapter.empty() ? model : model + ":" + adapter;
}

std::uint64_t hash_of(std::string_view text) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325; // FNV-1a
    for (unsigned char const c : text) {
        hash = (hash ^ c) * 0x100000001b3;
    }
    return hash;
}

/// What one answer consists of. Crossed answers exchange these.
struct completion {
    std::string request_;
    std::string model_;
    bool chat_{};
    std::string prompt_;
    std::int64_t prompt_tokens_{};
    std::int64_t length_{};
    std::int64_t from_{};
    std::string finish_reason_;
    std::string software_version_;
};

/// Token `index` of the answer: the prompt's digest, then words picked by it. It depends only on model,
/// prompt and software version, so that every engine of the version continues a stream with the same text.
std::string token_of(completion const& work, std::int64_t index)
{
    auto const version = work.software_version_.empty() ? std::string{} : '\n' + work.software_version_;
    auto const digest = hash_of(work.model_ + '\n' + work.prompt_ + version);
    if (index == 0) {
        char text[20]{};
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(digest));
        return text;
    }
    // The low bits of FNV-1a depend on the low bits of the text only.
    auto const word =
        (hash_of(std::to_string(digest) + '/' + std::to_string(index)) >> 40) % vocabulary.size();
    return std::string{" "} + vocabulary[word];
}

/// Slots, waiting requests and cancellations of the running completions.
struct running_request {
    std::string slot_model_;
    std::atomic<bool> cancelled_{false};
};

/// The engine's state. Thread safety: all members may be called from any thread.
class engine {
public:
    engine(engine_settings settings, fault_set& faults) : settings_{std::move(settings)}, faults_{faults}
    {
        samples_.push_back({steady_now(), state()});
    }

    engine_settings const& settings() const noexcept { return settings_; }

    reply load(json const& order)
    {
        auto const id = order.at("replica").get<std::string>();
        std::unique_lock lock{mutex_};
        if (auto const it = replicas_.find(id); it != replicas_.end()) {
            auto const result = it->second.result_;
            changed_.wait(lock, [&] { return result->ended_; });
            return result->reply_;
        }
        held_replica wanted{order.at("model").get<std::string>(), order.value("adapter", std::string{}),
                            order.at("memory_mb").get<std::int64_t>(), false,
                            std::make_shared<load_result>()};
        auto const source = order.at("source").get<std::string>();
        if (auto refused = refuse_load(order, id, wanted, source)) {
            return *refused;
        }
        auto const name = full_name(wanted.model_, wanted.adapter_);
        auto const result = wanted.result_;
        bool const adapter = !wanted.adapter_.empty();
        replicas_.emplace(id, std::move(wanted));
        lock.unlock();

        auto const failure = fetch(name, adapter, source);
        lock.lock();
        auto const it = replicas_.find(id);
        bool const unloaded = it == replicas_.end() || it->second.result_ != result;
        if (!failure) {
            keep_in_caches(name);
        }
        if (failure) {
            result->reply_ = refusal(502, "store_failed", *failure);
        } else if (unloaded) {
            result->reply_ = refusal(409, "unloaded", "the replica was unloaded during its load");
        } else {
            result->reply_ = {200, {{"replica", id}, {"status", "loaded"}}};
            it->second.loaded_ = true;
        }
        if (failure && !unloaded) {
            replicas_.erase(it);
        }
        result->ended_ = true;
        changed_.notify_all();
        return result->reply_;
    }

    reply unload(json const& order)
    {
        auto const id = order.at("replica").get<std::string>();
        auto const fencing = order.value("fencing", std::uint64_t{0});
        std::lock_guard const lock{mutex_};
        if (settings_.honours_fencing_) {
            unloaded_.insert(id);
        }
        if (auto const it = replicas_.find(id); it != replicas_.end()) {
            auto& highest = fencing_[full_name(it->second.model_, it->second.adapter_)];
            highest = std::max(highest, fencing);
            replicas_.erase(it);
            changed_.notify_all();
        }
        return {200, {{"replica", id}, {"status", "unloaded"}}};
    }

    reply cancel(json const& order)
    {
        auto const request = order.at("request").get<std::string>();
        std::lock_guard const lock{mutex_};
        auto const [first, last] = running_.equal_range(request);
        bool const found = first != last;
        for (auto it = first; it != last; ++it) {
            it->second->cancelled_ = true;
        }
        changed_.notify_all();
        return {200, {{"request", request}, {"cancelled", found}}};
    }

    /// Takes a slot, or waits for one. \returns The refusal, or nothing and the running request in `slot`.
    std::optional<reply> begin(std::string const& request, std::string const& model, std::int64_t priority,
                               std::shared_ptr<running_request>& slot)
    {
        auto const colon = model.find(':');
        auto const base = model.substr(0, colon);
        auto const adapter = colon == std::string::npos ? std::string{} : model.substr(colon + 1);
        std::unique_lock lock{mutex_};
        if (!serves(base, adapter)) {
            return not_loaded(model);
        }
        auto entry = std::make_shared<running_request>();
        entry->slot_model_ = base;
        if (running_count(base) >= settings_.slots_ || !queues_[base].empty()) {
            auto& queue = queues_[base];
            if (static_cast<std::int64_t>(queue.size()) >= settings_.queue_) {
                return refusal(429, "no_slot", "all slots of model " + base + " are taken");
            }
            auto const place = queue.insert({priority, next_arrival_++}).first;
            running_.emplace(request,
                             entry); // Counted as waiting until it leaves the queue; can be cancelled.
            ++waiting_[base];
            changed_.wait(lock, [&] {
                return entry->cancelled_ || !serves(base, adapter) ||
                       (place == queue.begin() && running_count(base) < settings_.slots_);
            });
            queue.erase(place);
            --waiting_[base];
            changed_.notify_all();
            if (entry->cancelled_ || !serves(base, adapter)) {
                remove(request, entry);
                return entry->cancelled_ ? refusal(499, "cancelled", "cancelled before it ran")
                                         : not_loaded(model);
            }
        } else {
            running_.emplace(request, entry);
        }
        slot = std::move(entry);
        return std::nullopt;
    }

    void end(std::string const& request, std::shared_ptr<running_request> const& slot)
    {
        std::lock_guard const lock{mutex_};
        remove(request, slot);
        changed_.notify_all();
    }

    /// Exchanges this answer's content with the next request's, once.
    void cross(completion& work)
    {
        std::unique_lock lock{mutex_};
        if (crossing_ != nullptr) {
            std::swap(*crossing_, work);
            crossing_ = nullptr;
            faults_.clear("cross_answers");
            changed_.notify_all();
        } else if (faults_.flag("cross_answers")) {
            crossing_ = &work;
            changed_.wait_for(lock, to_duration(cross_wait), [&] { return crossing_ != &work; });
            if (crossing_ == &work) {
                crossing_ = nullptr;
            }
        }
    }

    json report()
    {
        std::lock_guard const lock{mutex_};
        auto const lag = report_lag();
        auto const now = steady_now();
        if (lag.count_ == 0) {
            samples_.push_back({now, state()});
        }
        auto const* chosen = &samples_.front();
        for (auto const& sample : samples_) {
            if (sample.at_ + lag <= now) {
                chosen = &sample;
            }
        }
        json result = chosen->state_;
        if (auto const shown = faults_.text("reported_version"); !shown.empty()) {
            result["software_version"] = shown;
        }
        result["taken_ms_ago"] = (now - chosen->at_).count_;
        return result;
    }

    /// Takes a sample of the state for later reports.
    void sample()
    {
        std::lock_guard const lock{mutex_};
        auto const now = steady_now();
        samples_.push_back({now, state()});
        auto const lag = report_lag();
        while (samples_.size() > 1 && samples_[1].at_ + lag <= now) {
            samples_.pop_front();
        }
    }

private:
    struct report_sample_entry {
        millis at_{};
        json state_;
    };

    [[nodiscard]] millis report_lag() const
    {
        auto const set = faults_.number("report_lag_ms");
        return {set >= 0 ? set : settings_.report_lag_ms_};
    }

    static reply not_loaded(std::string const& model)
    {
        return refusal(404, "model_not_loaded", "model " + model + " is not loaded");
    }

    std::optional<reply> refuse_load(json const& order, std::string const& id, held_replica const& wanted,
                                     std::string const& source)
    {
        auto const name = full_name(wanted.model_, wanted.adapter_);
        auto const fencing = order.value("fencing", std::uint64_t{0});
        if (faults_.flag("refuse_loads")) {
            return refusal(503, "refused", "the engine takes no load orders");
        }
        if (order.value("vm_instance", settings_.vm_instance_) != settings_.vm_instance_) {
            return refusal(409, "wrong_instance", "this VM is instance " + settings_.vm_instance_);
        }
        if (settings_.honours_fencing_) {
            auto& highest = fencing_[name];
            if (unloaded_.contains(id) || fencing < highest) {
                return refusal(409, "stale_fencing",
                               "fencing number " + std::to_string(highest) + " was seen");
            }
            highest = fencing;
        }
        if (!wanted.adapter_.empty() && !serves(wanted.model_, "")) {
            return refusal(409, "base_not_loaded", "model " + wanted.model_ + " is not loaded");
        }
        if (memory_used() + wanted.memory_mb_ > settings_.memory_mb_) {
            return refusal(409, "out_of_memory",
                           std::to_string(settings_.memory_mb_ - memory_used()) + " MB are free");
        }
        if (source != "store" && !cached_adapters_.contains(name) &&
            !in_cache(source == "memory_cache" ? memory_cache_ : disk_cache_, name)) {
            return refusal(409, "not_cached", name + " is not in " + source);
        }
        return std::nullopt;
    }

    /// Waits for the weights. \returns What failed, or nothing.
    std::optional<std::string> fetch(std::string const& name, bool adapter, std::string const& source)
    {
        if (source == "store" && !settings_.store_.empty()) {
            auto const [host, port] = parse_endpoint(settings_.store_);
            httplib::Client store{host, port};
            store.set_read_timeout(3600);
            auto const answered = store.Post(
                "/v1/transfers", json{{"kind", adapter ? "adapter" : "checkpoint"}, {"name", name}}.dump(),
                "application/json");
            if (!answered) {
                return "store " + settings_.store_ + ": " + httplib::to_string(answered.error());
            }
            if (answered->status != 200) {
                return "store " + settings_.store_ + " answered " + std::to_string(answered->status);
            }
        }
        auto const load_ms = adapter                    ? adapter_load_ms
                             : source == "memory_cache" ? settings_.load_ms_ / 10
                                                        : settings_.load_ms_;
        std::this_thread::sleep_for(to_duration({load_ms}));
        return std::nullopt;
    }

    static bool in_cache(std::deque<std::string> const& cache, std::string const& name)
    {
        return std::find(cache.begin(), cache.end(), name) != cache.end();
    }

    static void keep(std::deque<std::string>& cache, std::string const& name, std::size_t limit)
    {
        std::erase(cache, name);
        cache.push_back(name);
        if (cache.size() > limit) {
            cache.pop_front();
        }
    }

    void keep_in_caches(std::string const& name)
    {
        if (name.find(':') != std::string::npos) { // Adapters are small: all of them are kept.
            cached_adapters_.insert(name);
            return;
        }
        keep(memory_cache_, name, settings_.memory_cache_);
        keep(disk_cache_, name, settings_.disk_cache_);
    }

    [[nodiscard]] std::int64_t memory_used() const
    {
        std::int64_t used = 0;
        for (auto const& [id, held] : replicas_) {
            used += held.memory_mb_;
        }
        return used;
    }

    [[nodiscard]] bool loaded(std::string const& model, std::string const& adapter) const
    {
        return std::any_of(replicas_.begin(), replicas_.end(), [&](auto const& item) {
            auto const& held = item.second;
            return held.loaded_ && held.model_ == model && held.adapter_ == adapter;
        });
    }

    [[nodiscard]] bool serves(std::string const& base, std::string const& adapter) const
    {
        return loaded(base, "") && (adapter.empty() || loaded(base, adapter));
    }

    [[nodiscard]] std::int64_t running_count(std::string const& base) const
    {
        auto const all = std::count_if(running_.begin(), running_.end(),
                                       [&](auto const& item) { return item.second->slot_model_ == base; });
        auto const it = waiting_.find(base);
        return all - (it == waiting_.end() ? 0 : it->second);
    }

    void remove(std::string const& request, std::shared_ptr<running_request> const& slot)
    {
        auto const [first, last] = running_.equal_range(request);
        for (auto it = first; it != last; ++it) {
            if (it->second == slot) {
                running_.erase(it);
                return;
            }
        }
    }

    [[nodiscard]] json state() const
    {
        json replicas = json::array();
        for (auto const& [id, held] : replicas_) {
            replicas.push_back({{"replica", id},
                                {"model", held.model_},
                                {"adapter", held.adapter_},
                                {"status", held.loaded_ ? "loaded" : "loading"}});
        }
        json cached = json::array();
        for (auto const& name : memory_cache_) {
            cached.push_back({{"model", name}, {"source", "memory_cache"}});
        }
        for (auto const& name : disk_cache_) {
            if (!in_cache(memory_cache_, name)) {
                cached.push_back({{"model", name}, {"source", "disk_cache"}});
            }
        }
        for (auto const& name : cached_adapters_) {
            cached.push_back({{"model", name}, {"source", "memory_cache"}});
        }
        std::int64_t waiting = 0;
        for (auto const& [base, count] : waiting_) {
            waiting += count;
        }
        json state{{"vm_instance", settings_.vm_instance_},
                   {"running", static_cast<std::int64_t>(running_.size()) - waiting},
                   {"waiting", waiting},
                   {"leaving", faults_.flag("leaving")},
                   {"resumes_streams", settings_.resumes_streams_},
                   {"replicas", replicas},
                   {"cached", cached},
                   {"memory_mb", settings_.memory_mb_},
                   {"memory_used_mb", memory_used()}};
        if (!settings_.software_version_.empty()) {
            state["software_version"] = settings_.software_version_;
        }
        return state;
    }

    engine_settings const settings_;
    fault_set& faults_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, held_replica> replicas_;
    std::set<std::string> unloaded_;
    std::map<std::string, std::uint64_t> fencing_;
    std::deque<std::string> memory_cache_; ///< Least recently loaded first.
    std::deque<std::string> disk_cache_;
    std::set<std::string> cached_adapters_;
    std::multimap<std::string, std::shared_ptr<running_request>> running_; ///< By request, waiting ones too.
    std::map<std::string, std::set<std::pair<std::int64_t, std::uint64_t>>> queues_; ///< Priority, arrival.
    std::map<std::string, std::int64_t> waiting_;
    std::uint64_t next_arrival_{};
    completion* crossing_{};
    std::deque<report_sample_entry> samples_;
};

bool signature_matches(std::string const& key, std::string const& body, std::string const& given)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(body.data()), body.size(), digest.data(), &size);
    std::string expected;
    for (unsigned int i = 0; i < size; ++i) {
        char text[3]{};
        std::snprintf(text, sizeof text, "%02x", static_cast<unsigned>(digest.at(i)));
        expected += text;
    }
    return given.size() == expected.size() &&
           CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

/// The text of a chat's messages or of a plain prompt.
std::string prompt_of(json const& body, bool chat)
{
    if (!chat) {
        auto const& prompt = body.at("prompt");
        return prompt.is_string() ? prompt.get<std::string>() : prompt.dump();
    }
    std::string text;
    for (auto const& message : body.at("messages")) {
        auto const& content = message.at("content");
        text += message.value("role", std::string{"user"}) + ": " +
                (content.is_string() ? content.get<std::string>() : content.dump()) + "\n";
    }
    return text;
}

std::int64_t word_count(std::string const& text)
{
    std::istringstream words{text};
    return std::distance(std::istream_iterator<std::string>{words}, std::istream_iterator<std::string>{});
}

json choice_of(completion const& work, std::string const& text, json finish_reason, bool chunk, bool first)
{
    json choice{{"index", 0}, {"finish_reason", std::move(finish_reason)}};
    if (!work.chat_) {
        choice["text"] = text;
        return choice;
    }
    json message = json::object();
    if (first || !chunk) {
        message["role"] = "assistant";
    }
    if (!text.empty() || !chunk) {
        message["content"] = text;
    }
    choice[chunk ? "delta" : "message"] = std::move(message);
    return choice;
}

json frame_of(completion const& work, bool chunk, json choices)
{
    std::string object = work.chat_ ? "chat.completion" : "text_completion";
    if (work.chat_ && chunk) {
        object += ".chunk";
    }
    return {
        {"id", work.request_}, {"object", object}, {"model", work.model_}, {"choices", std::move(choices)}};
}

/// The whole answer is counted, also when a stream was continued here.
json usage_of(completion const& work)
{
    return {{"prompt_tokens", work.prompt_tokens_},
            {"completion_tokens", work.length_},
            {"total_tokens", work.prompt_tokens_ + work.length_}};
}

std::string event_of(json const& data)
{
    return "data: " + data.dump() + "\n\n";
}

/// Holds a slot until the answer ends, however it ends.
class slot_guard {
public:
    slot_guard(engine& host, std::string request, std::shared_ptr<running_request> slot)
        : host_{host}, request_{std::move(request)}, slot_{std::move(slot)}
    {
    }
    slot_guard(slot_guard const&) = delete;
    slot_guard& operator=(slot_guard const&) = delete;
    ~slot_guard() { host_.end(request_, slot_); }

    [[nodiscard]] bool cancelled() const noexcept { return slot_->cancelled_; }

private:
    engine& host_;
    std::string request_;
    std::shared_ptr<running_request> slot_;
};

/// Serves the completions of an engine.
class completion_server {
public:
    completion_server(engine& host, fault_set& faults) : host_{host}, faults_{faults} {}

    void handle(httplib::Request const& req, httplib::Response& res, bool chat)
    {
        auto const body = json::parse(req.body);
        auto work = read(req, body, chat);
        auto const own_request = work.request_;
        res.set_header("X-Request-Id", own_request);
        if (auto const& version = host_.settings().software_version_; !version.empty()) {
            res.set_header("X-Software-Version", version);
        }
        if (work.from_ > 0 && !host_.settings().resumes_streams_) {
            return refuse(res, 400, "cannot_resume", "this engine does not continue streams");
        }
        std::shared_ptr<running_request> slot;
        if (auto const refused =
                host_.begin(own_request, work.model_, body.value("priority", std::int64_t{1}), slot)) {
            return answer(res, refused->body_, refused->status_);
        }
        auto guard = std::make_shared<slot_guard>(host_, own_request, std::move(slot));
        if (auto const text = faults_.text("crash_on");
            !text.empty() && work.prompt_.find(text) != std::string::npos) {
            std::_Exit(70);
        }
        std::this_thread::sleep_for(to_duration({faults_.number("delay_ms")}));
        host_.cross(work);
        res.headers.erase("X-Request-Id");
        res.set_header("X-Request-Id", work.request_);
        if (body.value("stream", false)) {
            stream(res, std::move(work), std::move(guard));
        } else {
            whole(req, res, work, *guard);
        }
    }

private:
    [[nodiscard]] completion read(httplib::Request const& req, json const& body, bool chat) const
    {
        static std::atomic<std::uint64_t> next{1};
        completion work;
        work.request_ = req.has_header("X-Request-Id")
                            ? req.get_header_value("X-Request-Id")
                            : host_.settings().name_ + "-" + std::to_string(next++);
        work.model_ = body.at("model").get<std::string>();
        work.chat_ = chat;
        work.prompt_ = prompt_of(body, chat);
        work.prompt_tokens_ = word_count(work.prompt_);
        auto const limit = body.value("max_tokens", default_max_tokens);
        auto const wanted = host_.settings().answer_tokens_;
        work.length_ = wanted > 0 ? std::min(wanted, limit) : limit;
        work.finish_reason_ = work.length_ < limit ? "stop" : "length";
        work.from_ = body.value("resume_from", std::int64_t{0});
        work.software_version_ = host_.settings().software_version_;
        return work;
    }

    [[nodiscard]] std::int64_t cut_after() const { return faults_.number("cut_after_tokens"); }

    void pause_for_token() const { std::this_thread::sleep_for(to_duration({host_.settings().token_ms_})); }

    void whole(httplib::Request const& req, httplib::Response& res, completion const& work,
               slot_guard const& guard) const
    {
        int const connection = connection_of(req);
        std::string text;
        for (auto i = work.from_; i < work.length_; ++i) {
            if (cut_after() >= 0 && i - work.from_ >= cut_after()) {
                return drop_connection(req);
            }
            pause_for_token();
            if (guard.cancelled()) {
                return refuse(res, 499, "cancelled", "cancelled while it ran");
            }
            if (connection >= 0 && closed_by_peer(connection)) {
                return;
            }
            text += token_of(work, i);
        }
        if (faults_.flag("nonsense")) {
            return res.set_content("{\"choices\": [<", "application/json");
        }
        auto body =
            frame_of(work, false, json::array({choice_of(work, text, work.finish_reason_, false, true)}));
        body["usage"] = usage_of(work);
        answer(res, body);
    }

    void stream(httplib::Response& res, completion work, std::shared_ptr<slot_guard> guard)
    {
        auto next = std::make_shared<std::int64_t>(work.from_);
        res.set_chunked_content_provider("text/event-stream", [this, work = std::move(work),
                                                               guard = std::move(guard),
                                                               next](std::size_t, httplib::DataSink& sink) {
            auto const send = [&sink](std::string const& text) {
                return sink.write(text.data(), text.size());
            };
            auto const sent = *next - work.from_;
            if (cut_after() >= 0 && sent >= cut_after()) {
                return false; // Closes the connection without the terminating chunk.
            }
            if (guard->cancelled()) {
                send(event_of(
                    {{"id", work.request_}, {"error", {{"code", "cancelled"}, {"message", "cancelled"}}}}));
                sink.done();
                return true;
            }
            if (faults_.flag("nonsense")) {
                send("data: {\"id\": <\n\n");
                return false;
            }
            if (*next < work.length_) {
                pause_for_token();
                bool const first = *next == 0;
                auto const text = token_of(work, (*next)++);
                return send(event_of(
                    frame_of(work, true, json::array({choice_of(work, text, nullptr, true, first)}))));
            }
            auto last = frame_of(work, true, json::array());
            last["usage"] = usage_of(work);
            send(event_of(
                frame_of(work, true, json::array({choice_of(work, "", work.finish_reason_, true, false)}))));
            send(event_of(last) + "data: [DONE]\n\n");
            sink.done();
            return true;
        });
    }

    engine& host_;
    fault_set& faults_;
};

engine_settings settings_from(std::map<std::string, docopt::value> const& arguments)
{
    auto const text = [&](char const* name) {
        auto const& value = arguments.at(name);
        return value ? value.asString() : std::string{};
    };
    auto const number = [&](char const* name) { return std::stoll(text(name)); };
    auto const flag = [&](char const* name) { return arguments.at(name).asBool(); };
    return {text("--name"),
            text("--vm-instance"),
            number("--memory-mb"),
            flag("--honours-fencing"),
            flag("--checks-sender"),
            text("--order-key"),
            text("--store"),
            number("--slots"),
            number("--queue"),
            number("--token-ms"),
            number("--answer-tokens"),
            number("--load-ms"),
            static_cast<std::size_t>(number("--memory-cache")),
            static_cast<std::size_t>(number("--disk-cache")),
            number("--report-lag-ms"),
            flag("--resumes-streams"),
            text("--software-version")};
}

int run_engine(std::map<std::string, docopt::value> const& arguments)
{
    fault_set faults{{{"crash_on", ""},
                      {"delay_ms", 0},
                      {"cross_answers", false},
                      {"cut_after_tokens", -1},
                      {"report_lag_ms", -1},
                      {"leaving", false},
                      {"refuse_loads", false},
                      {"reported_version", ""},
                      {"nonsense", false}}};
    engine host{settings_from(arguments), faults};
    completion_server completions{host, faults};
    received_requests received;

    httplib::Server server;
    server.set_payload_max_length(16 << 20);
    faults.serve_on(server);
    received.serve_on(server);
    server.Post("/v1/chat/completions", [&](httplib::Request const& req, httplib::Response& res) {
        received.note(req);
        completions.handle(req, res, true);
    });
    server.Post("/v1/completions", [&](httplib::Request const& req, httplib::Response& res) {
        received.note(req);
        completions.handle(req, res, false);
    });
    auto const serve_order = [&](char const* path, reply (engine::*carry_out)(json const&)) {
        server.Post(path, [&, carry_out](httplib::Request const& req, httplib::Response& res) {
            received.note(req);
            auto const& settings = host.settings();
            if (settings.checks_sender_ && !signature_matches(settings.order_key_, req.body,
                                                              req.get_header_value("X-Order-Signature"))) {
                return refuse(res, 401, "bad_signature", "X-Order-Signature does not match");
            }
            auto const result = (host.*carry_out)(json::parse(req.body));
            answer(res, result.body_, result.status_);
        });
    };
    serve_order("/orders/load", &engine::load);
    serve_order("/orders/unload", &engine::unload);
    serve_order("/orders/cancel", &engine::cancel);
    server.Get("/report", [&](httplib::Request const&, httplib::Response& res) {
        if (faults.flag("nonsense")) {
            return res.set_content("{\"running\": <", "application/json");
        }
        answer(res, host.report());
    });
    std::jthread const sampler{[&](std::stop_token const& stop) {
        while (!stop.stop_requested()) {
            std::this_thread::sleep_for(to_duration(report_sample));
            host.sample();
        }
    }};
    return serve(server, arguments.at("--listen").asString(), 256);
}

} // namespace

int main(int argc, char** argv)
{
    return run(usage, argc, argv, run_engine);
}
