#pragma once

#include <auburnchute/clock.hpp>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <thread>

namespace auburnchute {

/// \brief A position in a trace, after the W3C recommendation Trace Context.
struct trace_context {
    std::string trace_id_; ///< 32 lower-case hexadecimal digits.
    std::string span_id_;  ///< 16 lower-case hexadecimal digits; empty in a fresh trace without a span.
    bool sampled_{true};
};

/// \brief Reads a `traceparent` header.
/// \returns The caller's context. If the header is missing or malformed, a fresh trace with an empty
/// `span_id_`, so that a child of it is a root span. Thread safety: may be called from any thread.
///
/// \code
/// auto const parent = parse_traceparent(header);
/// auto const own = child_of(parent);
/// spans.write(own, parent.span_id_, "accept", start, wall_now(), {});
/// \endcode
[[nodiscard]] trace_context parse_traceparent(std::string_view header);

/// \returns The header's value. \pre `context.span_id_` is not empty. Thread safety: pure.
[[nodiscard]] std::string to_traceparent(trace_context const& context);

/// \returns A new span in the same trace. Thread safety: may be called from any thread.
[[nodiscard]] trace_context child_of(trace_context const& context);

struct span_attribute {
    std::string key_;
    std::string value_;
};

/// \brief Writes finished spans to a file as JSON lines in the form of OTLP.
///
/// A thread of its own writes the file, so that `write` never waits for a disk. Spans that exceed the buffer
/// or cannot be written are dropped and counted. Thread safety: all functions may be called from any thread.
class span_sink {
public:
    /// \brief Opens the file for appending. \param file Path; empty: all spans are dropped uncounted.
    /// \throws error with step `traces` if the file cannot be opened.
    explicit span_sink(std::string_view file);
    span_sink(span_sink const&) = delete;
    span_sink& operator=(span_sink const&) = delete;
    ~span_sink();

    /// \brief Buffers one span; spans of unsampled traces are left out.
    void write(trace_context const& own, std::string_view parent_span_id, std::string_view name,
               millis wall_start, millis wall_end, std::span<span_attribute const> attributes);

    /// \brief Writes what is buffered and closes the file; later spans are dropped. The destructor does it,
    /// too.
    void close();

    /// \returns The number of spans lost to a full buffer or a failed write.
    [[nodiscard]] std::int64_t dropped() const noexcept;

private:
    void run();
    void write_out(std::string_view lines);

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::string buffer_;
    bool stop_{};
    std::int64_t dropped_{};
    int file_{-1};
    std::thread writer_;
};

} // namespace auburnchute
