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

/// Position in a YAML text, from 1.
struct source_position {
    int line_{1};
    int column_{1};
};

source_position to_source_position(YAML::Mark const& mark)
{
    return mark.is_null() ? source_position{} : source_position{mark.line + 1, mark.column + 1};
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

/// True if a scalar is unquoted and has no tag of its own; yaml-cpp gives it the tag `?`.
bool is_plain_scalar(YAML::Node const& node)
{
    return node.Tag() == "?";
}

/// True if YAML resolves the plain scalar to a number, a boolean or null instead of a string.
bool resolves_to_other_type(std::string const& text)
{
    static std::set<std::string> const reserved_words{
        "",      "~",     "null", "Null", "NULL", "true", "True", "TRUE", "false",
        "False", "FALSE", "yes",  "Yes",  "YES",  "no",   "No",   "NO",   "on",
        "On",    "ON",    "off",  "Off",  "OFF",  "y",    "Y",    "n",    "N"};
    double number = 0;
    return reserved_words.contains(text) || YAML::convert<double>::decode(YAML::Node{text}, number);
}

/// Parses one YAML document into rows and records the position of each field.
class document_reader {
public:
    document_reader(std::string_view file, std::vector<table_fault>& faults) : file_{file}, faults_{faults} {}

    void read_routes(std::string_view text, tables& all)
    {
        parse_document(text, [&](YAML::Node const& root) {
            read_map(root, "", {},
                     {{"workspaces", reader_for(all.workspaces_), true},
                      {"routes", reader_for(all.routes_), true}});
        });
    }

    void read_pools(std::string_view text, tables& all)
    {
        parse_document(text, [&](YAML::Node const& root) {
            read_map(root, "", {},
                     {{"store", reader_for(all.store_)}, {"pools", reader_for(all.pools_), true}});
        });
    }

    /// \returns False if the text is not valid UTF-8 or not exactly one well-formed YAML document.
    [[nodiscard]] bool is_well_formed() const noexcept { return well_formed_; }

    /// \returns The position of the field, or of the innermost row or section that contains it and was read.
    [[nodiscard]] source_position position_of(std::string path) const
    {
        for (;;) {
            if (auto const it = positions_.find(path); it != positions_.end()) {
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
    using field_reader = std::function<void(YAML::Node const&, std::string const&, source_position)>;

    struct field_spec {
        std::string_view name_;
        field_reader read_;
        bool required_{};
    };

    template <typename T>
    field_reader reader_for(T& target)
    {
        return [this, &target](YAML::Node const& node, std::string const& path, source_position position) {
            read(node, path, position, target);
        };
    }

    void add_fault(source_position position, std::string path, std::string message)
    {
        faults_.push_back({file_, position.line_, position.column_, std::move(path), std::move(message)});
    }

    template <typename F>
    void parse_document(std::string_view text, F&& read_root)
    {
        if (!check_encoding(text)) {
            well_formed_ = false;
            return;
        }
        try {
            auto const documents = YAML::LoadAll(std::string{text});
            if (documents.size() != 1) {
                well_formed_ = false;
                add_fault({}, "",
                          "must contain exactly one YAML document, got " + std::to_string(documents.size()));
                return;
            }
            read_root(documents.front());
        } catch (YAML::Exception const& exception) {
            well_formed_ = false;
            add_fault(to_source_position(exception.mark), "", exception.msg);
        }
    }

    /// Rejects invalid UTF-8, which yaml-cpp replaces silently, and control characters.
    bool check_encoding(std::string_view text)
    {
        using traits = boost::locale::utf::utf_traits<char>;
        source_position position;
        for (auto it = text.begin(); it != text.end();) {
            auto const start = it;
            auto const code_point = traits::decode(it, text.end());
            if (code_point == boost::locale::utf::illegal || code_point == boost::locale::utf::incomplete) {
                add_fault(position, "", "is not valid UTF-8");
                return false;
            }
            if ((code_point < 0x20 && code_point != '\n' && code_point != '\r' && code_point != '\t') ||
                code_point == 0x7F) {
                add_fault(position, "", "contains a control character");
                return false;
            }
            if (code_point == '\n') {
                position = {position.line_ + 1, 1};
            } else {
                position.column_ += static_cast<int>(it - start);
            }
        }
        return true;
    }

    void read_map(YAML::Node const& node, std::string const& path, source_position position,
                  std::vector<field_spec> const& fields)
    {
        if (!node.IsMap()) {
            add_fault(position, path, "must be a map");
            return;
        }
        std::set<std::string> seen;
        for (auto const& item : node) {
            read_entry(item.first, item.second, path, fields, seen);
        }
        for (auto const& spec : fields) {
            if (spec.required_ && !seen.contains(std::string{spec.name_})) {
                add_fault(position, join(path, spec.name_), "is required");
            }
        }
    }

    void read_entry(YAML::Node const& key, YAML::Node const& value, std::string const& path,
                    std::vector<field_spec> const& fields, std::set<std::string>& seen)
    {
        auto const key_position = to_source_position(key.Mark());
        if (!key.IsScalar()) {
            add_fault(key_position, path, "a key must be a string");
            return;
        }
        auto const& name = key.Scalar();
        auto const spec = std::find_if(fields.begin(), fields.end(),
                                       [&name](field_spec const& f) { return f.name_ == name; });
        auto const field_path = join(path, name);
        if (spec == fields.end()) {
            add_fault(key_position, field_path, "unknown key");
            return;
        }
        if (!seen.insert(name).second) {
            add_fault(key_position, field_path, "duplicate key");
            return;
        }
        // yaml-cpp marks an empty value with the position of the token after it.
        auto const value_position = value.IsNull() ? key_position : to_source_position(value.Mark());
        positions_[field_path] = value_position;
        spec->read_(value, field_path, value_position);
    }

    static std::string join(std::string const& path, std::string_view name)
    {
        return path.empty() ? std::string{name} : path + "." + std::string{name};
    }

    template <typename Row>
    void read(YAML::Node const& node, std::string const& path, source_position position,
              std::vector<Row>& rows)
    {
        if (!node.IsSequence()) {
            add_fault(position, path, "must be a list");
            return;
        }
        rows.clear();
        for (std::size_t i = 0; i < node.size(); ++i) {
            auto const row_path = path + "[" + std::to_string(i) + "]";
            auto const row_position = node[i].IsNull() ? position : to_source_position(node[i].Mark());
            positions_[row_path] = row_position;
            read(node[i], row_path, row_position, rows.emplace_back());
        }
    }

    void read(YAML::Node const& node, std::string const& path, source_position position, std::string& value)
    {
        if (!node.IsScalar()) {
            add_fault(position, path, "must be a string");
        } else if (is_plain_scalar(node) && resolves_to_other_type(node.Scalar())) {
            add_fault(position, path, "must be a string; put " + node.Scalar() + " in quotes");
        } else {
            value = node.Scalar();
        }
    }

    void read(YAML::Node const& node, std::string const& path, source_position position, std::int64_t& value)
    {
        if (!node.IsScalar() || !is_plain_scalar(node)) {
            add_fault(position, path, "must be a whole number without quotes");
            return;
        }
        auto const& text = node.Scalar();
        std::int64_t number = 0;
        auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (code == std::errc::result_out_of_range) {
            add_fault(position, path, "the number " + text + " is out of range");
        } else if (code != std::errc{} || end != text.data() + text.size()) {
            add_fault(position, path, "must be a whole number, got " + text);
        } else {
            value = number;
        }
    }

    void read(YAML::Node const& node, std::string const& path, source_position position, millis& value)
    {
        read(node, path, position, value.count_);
    }

    void read(YAML::Node const& node, std::string const& path, source_position position, bool& value)
    {
        if (!node.IsScalar() || !is_plain_scalar(node) ||
            (node.Scalar() != "true" && node.Scalar() != "false")) {
            add_fault(position, path, "must be true or false without quotes");
            return;
        }
        value = node.Scalar() == "true";
    }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void read(YAML::Node const& node, std::string const& path, source_position position, Enum& value)
    {
        std::string names;
        for (auto const candidate : values_of(Enum{})) {
            if (node.IsScalar() && node.Scalar() == to_string(candidate)) {
                value = candidate;
                return;
            }
            names.append(names.empty() ? "" : ", ").append(to_string(candidate));
        }
        add_fault(position, path, "must be one of " + names);
    }

    void read(YAML::Node const& node, std::string const& path, source_position position, workspace_row& row)
    {
        read_map(node, path, position,
                 {{"name", reader_for(row.name_), true},
                  {"rate", reader_for(row.rate_), true},
                  {"burst", reader_for(row.burst_), true},
                  {"weight", reader_for(row.weight_)}});
    }

    void read(YAML::Node const& node, std::string const& path, source_position position, route_row& row)
    {
        read_map(node, path, position,
                 {{"name", reader_for(row.name_), true},
                  {"open", reader_for(row.open_)},
                  {"workspaces", reader_for(row.workspaces_)},
                  {"model", reader_for(row.model_)},
                  {"path", reader_for(row.path_)},
                  {"pool", reader_for(row.pool_), true},
                  {"priority", reader_for(row.priority_)},
                  {"deadline_ms", reader_for(row.deadline_)},
                  {"max_tokens", reader_for(row.max_tokens_)},
                  {"cost", reader_for(row.cost_)},
                  {"repeatable", reader_for(row.repeatable_)}});
    }

    void read(YAML::Node const& node, std::string const& path, source_position position, pool_row& row)
    {
        read_map(node, path, position,
                 {{"name", reader_for(row.name_), true},
                  {"kind", reader_for(row.kind_)},
                  {"upstreams", reader_for(row.upstreams_), true},
                  {"availability_zones", reader_for(row.availability_zones_)},
                  {"locality", reader_for(row.locality_)},
                  {"memory_mb", reader_for(row.memory_mb_)},
                  {"min_residence_ms", reader_for(row.min_residence_)},
                  {"aging_ms", reader_for(row.aging_)},
                  {"outage_permits", reader_for(row.outage_permits_)},
                  {"slots", reader_for(row.slots_)},
                  {"models", reader_for(row.models_)}});
    }

    void read(YAML::Node const& node, std::string const& path, source_position position, model_row& row)
    {
        read_map(node, path, position,
                 {{"name", reader_for(row.name_), true},
                  {"memory_mb", reader_for(row.memory_mb_), true},
                  {"min_replicas", reader_for(row.min_replicas_)},
                  {"max_replicas", reader_for(row.max_replicas_)},
                  {"slots", reader_for(row.slots_)},
                  {"load_time_ms", reader_for(row.load_time_)},
                  {"idle_unload_ms", reader_for(row.idle_unload_)},
                  {"adapters", reader_for(row.adapters_)}});
    }

    void read(YAML::Node const& node, std::string const& path, source_position position, adapter_row& row)
    {
        read_map(node, path, position,
                 {{"name", reader_for(row.name_), true}, {"memory_mb", reader_for(row.memory_mb_), true}});
    }

    void read(YAML::Node const& node, std::string const& path, source_position position, store_row& row)
    {
        read_map(node, path, position,
                 {{"checkpoint_transfers", reader_for(row.checkpoint_transfers_)},
                  {"adapter_transfers", reader_for(row.adapter_transfers_)}});
    }

    std::string file_;
    std::vector<table_fault>& faults_;
    std::map<std::string, source_position> positions_;
    bool well_formed_{true};
};

/// Writes rows as YAML with the keys that `document_reader` accepts.
class document_writer {
public:
    [[nodiscard]] std::string text() { return std::string{out_.c_str()} + "\n"; }

    void begin_map() { out_ << YAML::BeginMap; }
    void end_map() { out_ << YAML::EndMap; }

    template <typename T>
    void write_field(char const* name, T const& value)
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
        begin_map();
        write_field("name", row.name_);
        write_field("rate", row.rate_);
        write_field("burst", row.burst_);
        write_field("weight", row.weight_);
        end_map();
    }

    void write(route_row const& row)
    {
        begin_map();
        write_field("name", row.name_);
        write_field("open", row.open_);
        write_field("workspaces", row.workspaces_);
        write_field("model", row.model_);
        write_field("path", row.path_);
        write_field("pool", row.pool_);
        write_field("priority", row.priority_);
        write_field("deadline_ms", row.deadline_);
        write_field("max_tokens", row.max_tokens_);
        write_field("cost", row.cost_);
        write_field("repeatable", row.repeatable_);
        end_map();
    }

    void write(pool_row const& row)
    {
        begin_map();
        write_field("name", row.name_);
        write_field("kind", row.kind_);
        write_field("upstreams", row.upstreams_);
        write_field("availability_zones", row.availability_zones_);
        write_field("locality", row.locality_);
        write_field("memory_mb", row.memory_mb_);
        write_field("min_residence_ms", row.min_residence_);
        write_field("aging_ms", row.aging_);
        write_field("outage_permits", row.outage_permits_);
        write_field("slots", row.slots_);
        write_field("models", row.models_);
        end_map();
    }

    void write(model_row const& row)
    {
        begin_map();
        write_field("name", row.name_);
        write_field("memory_mb", row.memory_mb_);
        write_field("min_replicas", row.min_replicas_);
        write_field("max_replicas", row.max_replicas_);
        write_field("slots", row.slots_);
        write_field("load_time_ms", row.load_time_);
        write_field("idle_unload_ms", row.idle_unload_);
        write_field("adapters", row.adapters_);
        end_map();
    }

    void write(adapter_row const& row)
    {
        begin_map();
        write_field("name", row.name_);
        write_field("memory_mb", row.memory_mb_);
        end_map();
    }

    void write(store_row const& row)
    {
        begin_map();
        write_field("checkpoint_transfers", row.checkpoint_transfers_);
        write_field("adapter_transfers", row.adapter_transfers_);
        end_map();
    }

    YAML::Emitter out_;
};

/// True if the path is one of the faulty fields or lies within one of them.
bool lies_within(std::set<std::string> const& faulty_fields, std::string path)
{
    for (;;) {
        if (faulty_fields.contains(path)) {
            return true;
        }
        auto const end = path.find_last_of(".[");
        if (end == std::string::npos) {
            return false;
        }
        path.resize(end);
    }
}

/// Adds the faults found by `validate`, except those of fields and rows that already have a fault.
void add_validation_faults(parsed_tables& result, std::string_view routes_name, document_reader const& routes,
                           std::string_view pools_name, document_reader const& pools)
{
    std::set<std::string> faulty_fields;
    for (auto const& fault : result.faults_) {
        faulty_fields.insert(fault.field_);
    }
    for (auto& fault : validate(result.tables_)) {
        if (lies_within(faulty_fields, fault.field_)) {
            continue;
        }
        bool const in_routes = fault.field_.starts_with("routes") || fault.field_.starts_with("workspaces");
        auto const position = (in_routes ? routes : pools).position_of(fault.field_);
        fault.file_ = in_routes ? routes_name : pools_name;
        fault.line_ = position.line_;
        fault.column_ = position.column_;
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
    if (routes.is_well_formed() && pools.is_well_formed()) {
        add_validation_faults(result, routes_name, routes, pools_name, pools);
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
    out.begin_map();
    out.write_field("workspaces", all.workspaces_);
    out.write_field("routes", all.routes_);
    out.end_map();
    return out.text();
}

std::string pools_to_yaml(tables const& all)
{
    document_writer out;
    out.begin_map();
    out.write_field("store", all.store_);
    out.write_field("pools", all.pools_);
    out.end_map();
    return out.text();
}

} // namespace auburnchute
