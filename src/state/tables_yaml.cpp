#include <auburnchute/tables_yaml.hpp>

#include <algorithm>
#include <array>
#include <boost/locale/utf.hpp>
#include <charconv>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <system_error>
#include <utility>
#include <yaml-cpp/yaml.h>

namespace auburnchute {

namespace {

struct place {
    int line_{1};
    int column_{1};
};

place to_place(YAML::Mark const& mark)
{
    return mark.is_null() ? place{} : place{mark.line + 1, mark.column + 1};
}

constexpr std::array priorities{priority::urgent, priority::high, priority::normal, priority::low};
constexpr std::array pool_kinds{pool_kind::model, pool_kind::service};
constexpr std::array localities{locality::prefer, locality::require};

constexpr std::span<priority const> values_of(priority)
{
    return priorities;
}

constexpr std::span<pool_kind const> values_of(pool_kind)
{
    return pool_kinds;
}

constexpr std::span<locality const> values_of(locality)
{
    return localities;
}

bool is_plain(YAML::Node const& node)
{
    return node.Tag() == "?";
}

/// True if YAML reads the plain scalar as a number, a truth value or null instead of as text.
bool resolves_to_other_type(std::string const& text)
{
    static std::set<std::string> const words{"",     "~",     "null",  "Null",  "NULL", "true", "True",
                                             "TRUE", "false", "False", "FALSE", "yes",  "Yes",  "YES",
                                             "no",   "No",    "NO",    "on",    "On",   "ON",   "off",
                                             "Off",  "OFF",   "y",     "Y",     "n",    "N"};
    double number = 0;
    return words.contains(text) || YAML::convert<double>::decode(YAML::Node{text}, number);
}

/// Reads one document of the tables into rows, and keeps where each field stands.
class document_reader {
public:
    document_reader(std::string_view file, std::vector<table_fault>& faults) : file_{file}, faults_{faults} {}

    void read_routes(std::string_view text, tables& all)
    {
        with_root(text, [&](YAML::Node const& root) {
            read_map(root, "", {},
                     {{"workspaces", into(all.workspaces_), true}, {"routes", into(all.routes_), true}});
        });
    }

    void read_pools(std::string_view text, tables& all)
    {
        with_root(text, [&](YAML::Node const& root) {
            read_map(root, "", {}, {{"store", into(all.store_)}, {"pools", into(all.pools_), true}});
        });
    }

    [[nodiscard]] bool readable() const noexcept { return readable_; }

    /// \returns The place of the field, or of the nearest row or section around it.
    [[nodiscard]] place find(std::string path) const
    {
        for (;;) {
            if (auto const it = places_.find(path); it != places_.end()) {
                return it->second;
            }
            auto const end = path.find_last_of(".[");
            if (end == std::string::npos) {
                return {};
            }
            path.resize(end);
        }
    }

private:
    using field_reader = std::function<void(YAML::Node const&, std::string const&, place)>;

    struct field {
        std::string_view name_;
        field_reader read_;
        bool required_{};
    };

    template <typename T>
    field_reader into(T& target)
    {
        return [this, &target](YAML::Node const& node, std::string const& path, place at) {
            read(node, path, at, target);
        };
    }

    void add_fault(place at, std::string path, std::string message)
    {
        faults_.push_back({file_, at.line_, at.column_, std::move(path), std::move(message)});
    }

    template <typename F>
    void with_root(std::string_view text, F&& read_root)
    {
        if (!check_encoding(text)) {
            readable_ = false;
            return;
        }
        try {
            auto const documents = YAML::LoadAll(std::string{text});
            if (documents.size() != 1) {
                readable_ = false;
                add_fault({}, "", "must hold exactly one YAML document");
                return;
            }
            read_root(documents.front());
        } catch (YAML::Exception const& fault) {
            readable_ = false;
            add_fault(to_place(fault.mark), "", fault.msg);
        }
    }

    /// yaml-cpp replaces invalid bytes silently, so they are looked for here.
    bool check_encoding(std::string_view text)
    {
        using traits = boost::locale::utf::utf_traits<char>;
        place at;
        for (auto it = text.begin(); it != text.end();) {
            auto const start = it;
            auto const point = traits::decode(it, text.end());
            if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete) {
                add_fault(at, "", "is not valid UTF-8");
                return false;
            }
            if ((point < 0x20 && point != '\n' && point != '\r' && point != '\t') || point == 0x7F) {
                add_fault(at, "", "holds a control character");
                return false;
            }
            if (point == '\n') {
                at = {at.line_ + 1, 1};
            } else {
                at.column_ += static_cast<int>(it - start);
            }
        }
        return true;
    }

    void read_map(YAML::Node const& node, std::string const& path, place at, std::vector<field> const& fields)
    {
        if (!node.IsMap()) {
            add_fault(at, path, "must be a map");
            return;
        }
        std::set<std::string> seen;
        for (auto const& item : node) {
            read_entry(item.first, item.second, path, fields, seen);
        }
        for (auto const& known : fields) {
            if (known.required_ && !seen.contains(std::string{known.name_})) {
                add_fault(at, join(path, known.name_), "is required");
            }
        }
    }

    void read_entry(YAML::Node const& key, YAML::Node const& value, std::string const& path,
                    std::vector<field> const& fields, std::set<std::string>& seen)
    {
        auto const key_place = to_place(key.Mark());
        if (!key.IsScalar()) {
            add_fault(key_place, path, "a key must be text");
            return;
        }
        auto const& name = key.Scalar();
        auto const known =
            std::find_if(fields.begin(), fields.end(), [&name](field const& f) { return f.name_ == name; });
        auto const field_path = join(path, name);
        if (known == fields.end()) {
            add_fault(key_place, field_path, "unknown key");
            return;
        }
        if (!seen.insert(name).second) {
            add_fault(key_place, field_path, "the key stands twice");
            return;
        }
        // yaml-cpp marks an empty value with the place of the token after it.
        auto const value_place = value.IsNull() ? key_place : to_place(value.Mark());
        places_[field_path] = value_place;
        known->read_(value, field_path, value_place);
    }

    static std::string join(std::string const& path, std::string_view name)
    {
        return path.empty() ? std::string{name} : path + "." + std::string{name};
    }

    template <typename Row>
    void read(YAML::Node const& node, std::string const& path, place at, std::vector<Row>& rows)
    {
        if (!node.IsSequence()) {
            add_fault(at, path, "must be a list");
            return;
        }
        rows.clear();
        for (std::size_t i = 0; i < node.size(); ++i) {
            auto const row_path = path + "[" + std::to_string(i) + "]";
            auto const row_place = node[i].IsNull() ? at : to_place(node[i].Mark());
            places_[row_path] = row_place;
            read(node[i], row_path, row_place, rows.emplace_back());
        }
    }

    void read(YAML::Node const& node, std::string const& path, place at, std::string& value)
    {
        if (!node.IsScalar()) {
            add_fault(at, path, "must be text");
        } else if (is_plain(node) && resolves_to_other_type(node.Scalar())) {
            add_fault(at, path, "must be text; put " + node.Scalar() + " in quotes");
        } else {
            value = node.Scalar();
        }
    }

    void read(YAML::Node const& node, std::string const& path, place at, std::int64_t& value)
    {
        if (!node.IsScalar() || !is_plain(node)) {
            add_fault(at, path, "must be a whole number");
            return;
        }
        auto const& text = node.Scalar();
        std::int64_t number = 0;
        auto const [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (fault == std::errc::result_out_of_range) {
            add_fault(at, path, "the number " + text + " is out of range");
        } else if (fault != std::errc{} || end != text.data() + text.size()) {
            add_fault(at, path, "must be a whole number");
        } else {
            value = number;
        }
    }

    void read(YAML::Node const& node, std::string const& path, place at, millis& value)
    {
        read(node, path, at, value.count_);
    }

    void read(YAML::Node const& node, std::string const& path, place at, bool& value)
    {
        if (!node.IsScalar() || !is_plain(node) || (node.Scalar() != "true" && node.Scalar() != "false")) {
            add_fault(at, path, "must be true or false");
            return;
        }
        value = node.Scalar() == "true";
    }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void read(YAML::Node const& node, std::string const& path, place at, Enum& value)
    {
        std::string names;
        for (auto const candidate : values_of(Enum{})) {
            if (node.IsScalar() && node.Scalar() == to_string(candidate)) {
                value = candidate;
                return;
            }
            names.append(names.empty() ? "" : ", ").append(to_string(candidate));
        }
        add_fault(at, path, "must be one of " + names);
    }

    void read(YAML::Node const& node, std::string const& path, place at, workspace_row& row)
    {
        read_map(node, path, at,
                 {{"name", into(row.name_), true},
                  {"rate", into(row.rate_), true},
                  {"burst", into(row.burst_), true},
                  {"weight", into(row.weight_)}});
    }

    void read(YAML::Node const& node, std::string const& path, place at, route_row& row)
    {
        read_map(node, path, at,
                 {{"name", into(row.name_), true},
                  {"open", into(row.open_)},
                  {"workspaces", into(row.workspaces_)},
                  {"model", into(row.model_)},
                  {"path", into(row.path_)},
                  {"pool", into(row.pool_), true},
                  {"priority", into(row.priority_)},
                  {"deadline_ms", into(row.deadline_)},
                  {"max_tokens", into(row.max_tokens_)},
                  {"cost", into(row.cost_)},
                  {"repeatable", into(row.repeatable_)}});
    }

    void read(YAML::Node const& node, std::string const& path, place at, pool_row& row)
    {
        read_map(node, path, at,
                 {{"name", into(row.name_), true},
                  {"kind", into(row.kind_)},
                  {"upstreams", into(row.upstreams_), true},
                  {"availability_zones", into(row.availability_zones_)},
                  {"locality", into(row.locality_)},
                  {"memory_mb", into(row.memory_mb_)},
                  {"min_residence_ms", into(row.min_residence_)},
                  {"aging_ms", into(row.aging_)},
                  {"outage_permits", into(row.outage_permits_)},
                  {"slots", into(row.slots_)},
                  {"models", into(row.models_)}});
    }

    void read(YAML::Node const& node, std::string const& path, place at, model_row& row)
    {
        read_map(node, path, at,
                 {{"name", into(row.name_), true},
                  {"memory_mb", into(row.memory_mb_), true},
                  {"min_replicas", into(row.min_replicas_)},
                  {"max_replicas", into(row.max_replicas_)},
                  {"slots", into(row.slots_)},
                  {"load_time_ms", into(row.load_time_)},
                  {"idle_unload_ms", into(row.idle_unload_)},
                  {"adapters", into(row.adapters_)}});
    }

    void read(YAML::Node const& node, std::string const& path, place at, adapter_row& row)
    {
        read_map(node, path, at,
                 {{"name", into(row.name_), true}, {"memory_mb", into(row.memory_mb_), true}});
    }

    void read(YAML::Node const& node, std::string const& path, place at, store_row& row)
    {
        read_map(node, path, at,
                 {{"checkpoint_transfers", into(row.checkpoint_transfers_)},
                  {"adapter_transfers", into(row.adapter_transfers_)}});
    }

    std::string file_;
    std::vector<table_fault>& faults_;
    std::map<std::string, place> places_;
    bool readable_{true};
};

/// Writes the rows as YAML; the keys are those that the reader accepts.
class document_writer {
public:
    [[nodiscard]] std::string text() { return std::string{out_.c_str()} + "\n"; }

    void begin() { out_ << YAML::BeginMap; }
    void end() { out_ << YAML::EndMap; }

    template <typename T>
    void field(char const* name, T const& value)
    {
        out_ << YAML::Key << name << YAML::Value;
        write(value);
    }

private:
    void write(std::string const& value)
    {
        auto const is_safe = [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' ||
                   c == '.' || c == '/' || c == '-';
        };
        bool const plain = !value.empty() && value.front() != '-' && value.front() != '.' &&
                           std::all_of(value.begin(), value.end(), is_safe) && !resolves_to_other_type(value);
        if (!plain) {
            out_ << YAML::DoubleQuoted;
        }
        out_ << value;
    }

    void write(std::int64_t value) { out_ << value; }
    void write(millis value) { out_ << value.count_; }
    void write(bool value) { out_ << (value ? "true" : "false"); }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void write(Enum value) { out_ << std::string{to_string(value)}; }

    void write(std::vector<std::string> const& values)
    {
        out_ << YAML::Flow << YAML::BeginSeq;
        for (auto const& value : values) {
            write(value);
        }
        out_ << YAML::EndSeq;
    }

    template <typename Row>
    void write(std::vector<Row> const& rows)
    {
        if (rows.empty()) {
            out_ << YAML::Flow;
        }
        out_ << YAML::BeginSeq;
        for (auto const& row : rows) {
            write(row);
        }
        out_ << YAML::EndSeq;
    }

    void write(workspace_row const& row)
    {
        begin();
        field("name", row.name_);
        field("rate", row.rate_);
        field("burst", row.burst_);
        field("weight", row.weight_);
        end();
    }

    void write(route_row const& row)
    {
        begin();
        field("name", row.name_);
        field("open", row.open_);
        field("workspaces", row.workspaces_);
        field("model", row.model_);
        field("path", row.path_);
        field("pool", row.pool_);
        field("priority", row.priority_);
        field("deadline_ms", row.deadline_);
        field("max_tokens", row.max_tokens_);
        field("cost", row.cost_);
        field("repeatable", row.repeatable_);
        end();
    }

    void write(pool_row const& row)
    {
        begin();
        field("name", row.name_);
        field("kind", row.kind_);
        field("upstreams", row.upstreams_);
        field("availability_zones", row.availability_zones_);
        field("locality", row.locality_);
        field("memory_mb", row.memory_mb_);
        field("min_residence_ms", row.min_residence_);
        field("aging_ms", row.aging_);
        field("outage_permits", row.outage_permits_);
        field("slots", row.slots_);
        field("models", row.models_);
        end();
    }

    void write(model_row const& row)
    {
        begin();
        field("name", row.name_);
        field("memory_mb", row.memory_mb_);
        field("min_replicas", row.min_replicas_);
        field("max_replicas", row.max_replicas_);
        field("slots", row.slots_);
        field("load_time_ms", row.load_time_);
        field("idle_unload_ms", row.idle_unload_);
        field("adapters", row.adapters_);
        end();
    }

    void write(adapter_row const& row)
    {
        begin();
        field("name", row.name_);
        field("memory_mb", row.memory_mb_);
        end();
    }

    void write(store_row const& row)
    {
        begin();
        field("checkpoint_transfers", row.checkpoint_transfers_);
        field("adapter_transfers", row.adapter_transfers_);
        end();
    }

    YAML::Emitter out_;
};

/// True if the path is one of the faulty ones or lies within one of them.
bool is_within(std::set<std::string> const& faulty, std::string path)
{
    for (;;) {
        if (faulty.contains(path)) {
            return true;
        }
        auto const end = path.find_last_of(".[");
        if (end == std::string::npos) {
            return false;
        }
        path.resize(end);
    }
}

/// Adds the faults between rows, except on fields and rows that already have a fault of their own.
void add_row_faults(parsed_tables& result, std::string_view routes_name, document_reader const& routes,
                    std::string_view pools_name, document_reader const& pools)
{
    std::set<std::string> faulty;
    for (auto const& fault : result.faults_) {
        faulty.insert(fault.field_);
    }
    for (auto& fault : validate(result.tables_)) {
        if (is_within(faulty, fault.field_)) {
            continue;
        }
        bool const in_routes = fault.field_.starts_with("routes") || fault.field_.starts_with("workspaces");
        auto const at = (in_routes ? routes : pools).find(fault.field_);
        fault.file_ = in_routes ? routes_name : pools_name;
        fault.line_ = at.line_;
        fault.column_ = at.column_;
        result.faults_.push_back(std::move(fault));
    }
}

} // namespace

parsed_tables parse_tables(std::string_view routes_name, std::string_view routes_text,
                           std::string_view pools_name, std::string_view pools_text)
{
    parsed_tables result;
    document_reader routes{routes_name, result.faults_};
    document_reader pools{pools_name, result.faults_};
    routes.read_routes(routes_text, result.tables_);
    pools.read_pools(pools_text, result.tables_);
    if (routes.readable() && pools.readable()) {
        add_row_faults(result, routes_name, routes, pools_name, pools);
    }
    return result;
}

std::string to_string(table_fault const& fault)
{
    std::string text = fault.file_ + ":" + std::to_string(fault.line_) + ":" + std::to_string(fault.column_);
    if (!fault.field_.empty()) {
        text.append(": ").append(fault.field_);
    }
    return text.append(": ").append(fault.message_);
}

std::string routes_to_yaml(tables const& all)
{
    document_writer out;
    out.begin();
    out.field("workspaces", all.workspaces_);
    out.field("routes", all.routes_);
    out.end();
    return out.text();
}

std::string pools_to_yaml(tables const& all)
{
    document_writer out;
    out.begin();
    out.field("store", all.store_);
    out.field("pools", all.pools_);
    out.end();
    return out.text();
}

} // namespace auburnchute
