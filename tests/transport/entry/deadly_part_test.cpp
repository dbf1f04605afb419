#include "transport/entry/entry_world.hpp"

#include <atomic>

using namespace auburnchute::tests;
using namespace std::chrono_literals;

namespace {

/// Upstreams that crash when they begin to answer a request with a deadly part in its prompt: the head of the
/// answer comes, then the connections break and nothing listens any more.
class crashing_fleet {
public:
    crashing_fleet(std::size_t upstreams, std::vector<std::string> deadly) : deadly_{std::move(deadly)}
    {
        std::vector<scripted_upstream::script> scripts;
        for (std::size_t i = 0; i < upstreams; ++i) {
            scripts.push_back(script(i));
        }
        world_.emplace(scripts);
    }

    /// \returns The status of the answer to a stream request with these prompt parts, or 0 if it broke off.
    [[nodiscard]] int ask(std::string const& parts, std::string const& key = "key",
                          std::string const& ip = "")
    {
        auto const number = std::to_string(++asked_);
        auto const fields = "Api-Key: " + key + "\r\nX-Prompt-Prefix: " + parts + "," + number + "f:10\r\n";
        auto const answer = world_->call("POST", "/watch/" + number, "question " + number, fields, ip)
                                .receive_until("\r\n0\r\n\r\n");
        bool const unfinished = entry_world::status_of(answer) == 200 && !answer.ends_with("\r\n0\r\n\r\n");
        return unfinished ? 0 : entry_world::status_of(answer);
    }

    [[nodiscard]] int crashes() const { return crashes_; }
    void set_deadly(bool deadly) { armed_ = deadly; }
    entry_world& world() { return *world_; }

private:
    scripted_upstream::script script(std::size_t index)
    {
        return after_probe([this, index](received_request const& request, owned_socket& connection) {
            auto const parts = request.field("X-Prompt-Prefix");
            connection.send(stream_head(request));
            bool const crash = armed_ && std::any_of(deadly_.begin(), deadly_.end(), [&](auto const& part) {
                                   return parts.find(part + ":") != std::string::npos;
                               });
            if (crash) {
                ++crashes_;
                world_->upstreams_[index]->stop_listening();
                connection.reset();
                return false;
            }
            connection.send(chunk(event(1)) + "0\r\n\r\n");
            return true;
        });
    }

    std::vector<std::string> deadly_;
    std::atomic<bool> armed_{true};
    std::atomic<int> crashes_{0};
    int asked_{};
    std::optional<entry_world> world_;
};

/// Crashes after which the users' rules bind.
constexpr int crash_bound = 5;

} // namespace

TEST_CASE("a prompt part that crashes upstreams is refused before it has crashed them one after another",
          "[entry][promise-3][promise-9]")
{
    crashing_fleet fleet{8, {"dead"}};
    for (int i = 0; i < 12; ++i) {
        CAPTURE(i);
        CHECK(fleet.ask("aa:100,dead:50,bb:20") != 200);
        CHECK(fleet.ask("aa:100,bb:20") == 200);
    }
    CHECK(fleet.crashes() <= crash_bound);
    CHECK(fleet.ask("aa:100,dead:50,bb:20") == 503);
}
