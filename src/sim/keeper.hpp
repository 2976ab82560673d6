// The planner's store in virtual time: durable for as long as the day, dies before or after a
// commit when told to.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "planner/state_store.hpp"

namespace knotvane::sim {

struct MemoryKeeper final : planner::StateStore {
    struct Row {
        planner::Version stamp;
        std::string body;
    };
    using Key = std::tuple<planner::StateStore::Row, std::uint64_t, std::uint64_t>;
    std::map<Key, std::optional<Row>> gathered;
    std::map<Key, Row> rows;
    planner::StorePosition position;
    int die_at = 0; // 1: the next commit does not come about, 2: it does and nobody hears of it
    bool died = false;

    void put(planner::StateStore::Row r, std::uint64_t a, std::uint64_t b, planner::Version stamp,
             std::string body) override {
        gathered[{r, a, b}] = Row{stamp, std::move(body)};
    }
    void erase(planner::StateStore::Row r, std::uint64_t a, std::uint64_t b) override {
        gathered[{r, a, b}] = {};
    }
    bool commit(const planner::StorePosition &committed) override {
        if (die_at == 1) {
            died = true;
            return false;
        }
        for (auto &[key, row] : gathered)
            if (row)
                rows[key] = *row;
            else
                rows.erase(key);
        gathered.clear();
        position = committed;
        died = die_at == 2;
        return !died;
    }
    // The process is gone: what was gathered with it.
    void lives_on() { gathered.clear(), die_at = 0, died = false; }
};

} // namespace knotvane::sim
