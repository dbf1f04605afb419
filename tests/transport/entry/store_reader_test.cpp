#include "transport/entry/standin_platform.hpp"
#include "transport/entry/store_reader.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

using namespace auburnchute;
using namespace auburnchute::tests;

namespace {

constexpr auto* const topic = "keyed.servers";
constexpr auto* const own_vm = "own";
constexpr auto* const honest_vm = "honest";
constexpr auto* const false_vm = "false";

std::string sound_entry()
{
    return R"({"service":"desk","address":"127.0.0.9:9","zone":"a","slots":8,"state":"ready","born":1})";
}

/// A reader on a VM that does not read for all, with its store and what its peers have.
struct followed_reader {
    explicit followed_reader() : store_{own_address()}
    {
        settings_.vm_ = own_vm;
        settings_.ip_ = own_address();
        settings_.callers_listen_ = own_address() + ":80";
        settings_.peer_port_ = 7600;
        settings_.store_address_ = own_address() + ":" + std::to_string(store_.port());
        put("i-1", sound_entry());
        start_reading(reader_);
        REQUIRE(run_until(std::chrono::seconds{15}, [this] { return uses("i-1"); }));
        shared_.reads_for_all_ = false;
    }
    ~followed_reader() { loop_.stop(); }
    followed_reader(followed_reader const&) = delete;
    followed_reader& operator=(followed_reader const&) = delete;

    void put(std::string const& id, std::string const& document)
    {
        store_.put(topic, id, document);
        auto const at = log_.to_;
        append_updates(log_, at, at + 1,
                       {{at, id, document.empty() ? std::nullopt : std::optional{document}}}, boot_now());
    }

    /// Gives the reader a message of a peer that has all entries: the changes that the reader lacks by what
    /// it says itself, and the proof that there are no others.
    void tell_truth()
    {
        auto const known = shared_.cell_.read([](entry_view const& view) { return view.upstreams_next_; });
        take_report(reader_, {.told_by_ = honest_vm,
                              .kind_ = message_kind::mesh,
                              .store_era_ = store_.era(),
                              .updates_ = updates_after(log_, known.offset_),
                              .seen_ = log_.to_,
                              .proof_at_ = boot_now()});
    }

    /// Gives it a message of one that claims to have entries up to an offset, and that there are no others.
    void tell_falsely(std::uint64_t to)
    {
        take_report(reader_, {.told_by_ = false_vm,
                              .kind_ = message_kind::mesh,
                              .store_era_ = store_.era(),
                              .updates_ = {0, to, {}},
                              .seen_ = to,
                              .proof_at_ = boot_now()});
    }

    [[nodiscard]] bool uses(std::string const& id) const
    {
        return shared_.cell_.read([&](entry_view const& view) { return view.upstreams_->contains(id); });
    }

    /// Runs the reader, beside messages of the honest peer if `told_` is set, until the condition holds.
    template <typename Condition>
    bool run_until(std::chrono::milliseconds limit, Condition const& condition)
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            if (told_) {
                tell_truth();
            }
            if (lied_to_ > 0) {
                tell_falsely(lied_to_);
            }
            loop_.run_for(std::chrono::milliseconds{40});
        }
        return condition();
    }

    /// \returns Whether the store names the VM among the members.
    [[nodiscard]] bool is_registered() const
    {
        httplib::Client client{own_address(), store_.port()};
        auto const answer = client.Get("/auburnchute/log-newest?topic=keyed.auburnchute-members&part=0");
        REQUIRE(answer);
        auto const items = nlohmann::json::parse(answer->body).at("items");
        return std::any_of(items.begin(), items.end(), [](auto const& item) {
            constexpr std::size_t least_size = 80; // of a sound record in base64
            return item.at("key") == own_vm &&
                   item.at("value").template get<std::string>().size() > least_size;
        });
    }

    void run_for(std::chrono::milliseconds time)
    {
        (void)run_until(time, [] { return false; });
    }

    standin_store store_; // outlives the loop, which closes the connections to it
    net::io_context loop_;
    entry_settings settings_;
    shared_view shared_;
    metrics counters_;
    entry_log log_; ///< What the honest peer has.
    bool told_{};
    std::uint64_t lied_to_{};
    store_reader reader_{loop_, settings_, shared_, counters_, 1, {}};
};

} // namespace

// Guards against a VM that no longer follows the entries, since it takes a peer's word for having them.
TEST_CASE("a peer's claim to have entries which it has not keeps no VM from following them", "[entry][odd]")
{
    auto const beyond = GENERATE(std::uint64_t{1}, std::uint64_t{1'000'000});
    auto const again = GENERATE(false, true);
    CAPTURE(beyond, again);
    followed_reader world;
    auto const bound = std::chrono::milliseconds{world.settings_.leave_in_force_.count_};
    world.told_ = true;
    world.run_for(std::chrono::milliseconds{200});
    world.tell_falsely(world.log_.to_ + beyond);
    world.lied_to_ = again ? world.log_.to_ + beyond : 0;
    world.run_for(std::chrono::milliseconds{200});
    for (auto const* const id : {"i-2", "i-3", "i-4"}) {
        CAPTURE(id);
        world.put(id, sound_entry());
        CHECK(world.run_until(bound, [&] { return world.uses(id); }));
        world.put(id, "");
        CHECK(world.run_until(bound, [&] { return !world.uses(id); }));
    }
    // Nor does it read all entries again for each such message.
    CHECK(world.store_.newest_reads(topic) <= 3);
}

// Guards against a VM that those which start later never know, since its record in the store is written once.
TEST_CASE("a VM whose record among the members was overwritten or dropped writes it again", "[entry][odd]")
{
    auto const* const odd = GENERATE("{", "[]", R"({"peers":"10.0.0.1:0","callers":"10.0.0.1:80"})", "");
    CAPTURE(odd);
    followed_reader world;
    std::chrono::seconds const limit{15};
    REQUIRE(world.run_until(limit, [&] { return world.is_registered(); }));
    world.store_.put("keyed.auburnchute-members", own_vm, odd);
    REQUIRE_FALSE(world.is_registered());
    world.shared_.unknown_sender_seen_ = true; // as when a VM that is new sends its first message
    CHECK(world.run_until(limit, [&] { return world.is_registered(); }));
}
