// An in-memory planner state store for simulations. Committed rows survive simulated planner
// crashes; a commit can be made to fail before or after it takes effect.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "planner/state_store.hpp"

namespace knotvane::sim {

struct InMemoryStateStore final : planner::StateStore {
    struct Row {
        planner::Version stamp;
        std::string body;
    };
    using Key = std::tuple<planner::StateStore::Row, std::uint64_t, std::uint64_t>;
    std::map<Key, std::optional<Row>> pending_changes;
    std::map<Key, Row> rows;
    planner::StorePosition position;
    int commit_fault =
        0; // 1: the next commit has no effect and fails; 2: it takes effect but reports failure
    bool died = false;

    void put(planner::StateStore::Row r, std::uint64_t a, std::uint64_t b, planner::Version stamp,
             std::string body) override {
        pending_changes[{r, a, b}] = Row{stamp, std::move(body)};
    }
    void erase(planner::StateStore::Row r, std::uint64_t a, std::uint64_t b) override {
        pending_changes[{r, a, b}] = {};
    }
    bool commit(const planner::StorePosition &committed) override {
        if (commit_fault == 1) {
            died = true;
            return false;
        }
        for (auto &[key, row] : pending_changes)
            if (row)
                rows[key] = *row;
            else
                rows.erase(key);
        pending_changes.clear();
        position = committed;
        died = commit_fault == 2;
        return !died;
    }
    // Simulates a process restart: discards uncommitted changes.
    void restart() { pending_changes.clear(), commit_fault = 0, died = false; }
};

} // namespace knotvane::sim
