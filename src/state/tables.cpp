#include <auburnchute/tables.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace auburnchute {

namespace {

template <typename Row>
Row const* find_row(std::vector<Row> const& rows, std::string_view name) noexcept
{
    auto const it =
        std::find_if(rows.begin(), rows.end(), [name](Row const& row) { return row.name_ == name; });
    return it == rows.end() ? nullptr : &*it;
}

/// Validates rows and collects the faults; the field of a fault is a path such as `routes[2].pool`.
class table_validator {
public:
    explicit table_validator(tables const& all) : all_{all} {}

    std::vector<table_fault> run()
    {
        check_workspaces();
        check_routes();
        check_pools();
        check_store();
        return std::move(faults_);
    }

private:
    /// Adds a fault unless the condition holds.
    void require(bool condition, std::string field, std::string message)
    {
        if (!condition) {
            faults_.push_back({"", 0, 0, std::move(field), std::move(message)});
        }
    }

    void check_name(std::set<std::string>& seen_names, std::string const& name, std::string const& row_path)
    {
        require(!name.empty(), row_path + ".name", "must not be empty");
        require(name.empty() || seen_names.insert(name).second, row_path + ".name",
                "the name " + name + " is used more than once");
    }

    void check_positive(std::int64_t value, std::string field)
    {
        require(value <= max_table_number, field, "must be at most " + std::to_string(max_table_number));
        require(value > 0, std::move(field), "must be above 0");
    }

    void check_not_negative(std::int64_t value, std::string field)
    {
        require(value <= max_table_number, field, "must be at most " + std::to_string(max_table_number));
        require(value >= 0, std::move(field), "must not be negative");
    }

    void check_workspaces()
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < all_.workspaces_.size(); ++i) {
            auto const& row = all_.workspaces_[i];
            auto const row_path = "workspaces[" + std::to_string(i) + "]";
            check_name(names, row.name_, row_path);
            check_positive(row.rate_, row_path + ".rate");
            check_positive(row.burst_, row_path + ".burst");
            check_positive(row.weight_, row_path + ".weight");
        }
    }

    void check_routes()
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < all_.routes_.size(); ++i) {
            auto const& row = all_.routes_[i];
            auto const row_path = "routes[" + std::to_string(i) + "]";
            check_name(names, row.name_, row_path);
            check_allowed_workspaces(row, row_path);
            check_target(row, row_path);
            check_positive(row.deadline_.count_, row_path + ".deadline_ms");
            check_positive(row.max_tokens_, row_path + ".max_tokens");
            check_not_negative(row.cost_, row_path + ".cost");
        }
    }

    void check_allowed_workspaces(route_row const& row, std::string const& row_path)
    {
        require(row.open_ == row.workspaces_.empty(), row_path + ".workspaces",
                "must be empty if `open` is true and must name at least one workspace otherwise");
        for (auto const& name : row.workspaces_) {
            require(find_workspace(all_, name) != nullptr, row_path + ".workspaces",
                    "workspace " + name + " does not exist");
        }
    }

    void check_target(route_row const& row, std::string const& row_path)
    {
        require(row.model_.empty() != row.path_.empty(), row_path,
                "exactly one of `model` and `path` is required");
        require(row.path_.empty() || row.path_.front() == '/', row_path + ".path", "must begin with /");
        auto const* const pool = find_pool(all_, row.pool_);
        require(pool != nullptr, row_path + ".pool", "pool " + row.pool_ + " does not exist");
        if (pool == nullptr) {
            return;
        }
        bool const is_model = !row.model_.empty();
        require(is_model == (pool->kind_ == pool_kind::model), row_path + ".pool",
                "pool " + row.pool_ + " cannot serve this route: its kind is " +
                    std::string{to_string(pool->kind_)});
        require(!is_model || find_model(*pool, row.model_) != nullptr, row_path + ".model",
                "pool " + row.pool_ + " has no model " + row.model_);
        require(row.repeatable_ || !is_model, row_path + ".repeatable", "must be true for a model route");
    }

    void check_pools()
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < all_.pools_.size(); ++i) {
            auto const& row = all_.pools_[i];
            auto const row_path = "pools[" + std::to_string(i) + "]";
            check_name(names, row.name_, row_path);
            require(!row.upstreams_.empty(), row_path + ".upstreams", "must name at least one upstream");
            check_not_negative(row.memory_mb_, row_path + ".memory_mb");
            check_not_negative(row.min_residence_.count_, row_path + ".min_residence_ms");
            check_positive(row.aging_.count_, row_path + ".aging_ms");
            check_not_negative(row.outage_permits_, row_path + ".outage_permits");
            check_positive(row.slots_, row_path + ".slots");
            require((row.kind_ == pool_kind::model) != row.models_.empty(), row_path + ".models",
                    "must name at least one model for kind model and must be empty for kind service");
            check_models(row, row_path);
        }
    }

    void check_models(pool_row const& pool, std::string const& row_path)
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < pool.models_.size(); ++i) {
            auto const& row = pool.models_[i];
            auto const model_path = row_path + ".models[" + std::to_string(i) + "]";
            check_name(names, row.name_, model_path);
            require(row.name_.find(':') == std::string::npos, model_path + ".name",
                    "must not contain a colon, which separates base model and adapter");
            check_positive(row.memory_mb_, model_path + ".memory_mb");
            require(pool.memory_mb_ == 0 || row.memory_mb_ <= pool.memory_mb_, model_path + ".memory_mb",
                    "must be at most the pool's memory_mb " + std::to_string(pool.memory_mb_));
            check_not_negative(row.min_replicas_, model_path + ".min_replicas");
            check_not_negative(row.max_replicas_, model_path + ".max_replicas");
            require(row.max_replicas_ >= std::max<std::int64_t>(1, row.min_replicas_),
                    model_path + ".max_replicas", "must be at least 1 and at least min_replicas");
            check_positive(row.slots_, model_path + ".slots");
            check_positive(row.load_time_.count_, model_path + ".load_time_ms");
            check_not_negative(row.idle_unload_.count_, model_path + ".idle_unload_ms");
            check_adapters(row, model_path);
        }
    }

    void check_adapters(model_row const& model, std::string const& row_path)
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < model.adapters_.size(); ++i) {
            auto const adapter_path = row_path + ".adapters[" + std::to_string(i) + "]";
            check_name(names, model.adapters_[i].name_, adapter_path);
            check_positive(model.adapters_[i].memory_mb_, adapter_path + ".memory_mb");
        }
    }

    void check_store()
    {
        check_positive(all_.store_.checkpoint_transfers_, "store.checkpoint_transfers");
        check_positive(all_.store_.adapter_transfers_, "store.adapter_transfers");
    }

    tables const& all_;
    std::vector<table_fault> faults_;
};

} // namespace

std::vector<table_fault> validate(tables const& all)
{
    return table_validator{all}.run();
}

bool same_rows(tables const& a, tables const& b) noexcept
{
    return a.workspaces_ == b.workspaces_ && a.routes_ == b.routes_ && a.pools_ == b.pools_ &&
           a.store_ == b.store_;
}

workspace_row const* find_workspace(tables const& all, std::string_view name) noexcept
{
    return find_row(all.workspaces_, name);
}

route_row const* find_route(tables const& all, std::string_view name) noexcept
{
    return find_row(all.routes_, name);
}

pool_row const* find_pool(tables const& all, std::string_view name) noexcept
{
    return find_row(all.pools_, name);
}

model_row const* find_model(pool_row const& pool, std::string_view name) noexcept
{
    return find_row(pool.models_, name);
}

adapter_row const* find_adapter(model_row const& model, std::string_view name) noexcept
{
    return find_row(model.adapters_, name);
}

model_name split_model_name(std::string_view requested)
{
    auto const colon = requested.find(':');
    if (colon == std::string_view::npos) {
        return {std::string{requested}, {}};
    }
    return {std::string{requested.substr(0, colon)}, std::string{requested.substr(colon + 1)}};
}

bool matches_upstream(std::span<std::string const> patterns, std::string_view upstream) noexcept
{
    return std::any_of(patterns.begin(), patterns.end(), [upstream](std::string const& pattern) {
        if (!pattern.empty() && pattern.back() == '*') {
            return upstream.starts_with(std::string_view{pattern}.substr(0, pattern.size() - 1));
        }
        return upstream == pattern;
    });
}

std::string_view to_string(priority value) noexcept
{
    switch (value) {
    case priority::urgent:
        return "urgent";
    case priority::high:
        return "high";
    case priority::normal:
        return "normal";
    case priority::low:
        break;
    }
    return "low";
}

std::string_view to_string(pool_kind value) noexcept
{
    return value == pool_kind::model ? "model" : "service";
}

std::string_view to_string(locality value) noexcept
{
    return value == locality::prefer ? "prefer" : "require";
}

} // namespace auburnchute
