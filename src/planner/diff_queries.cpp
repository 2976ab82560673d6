#include "planner/diff_queries.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "control/encode.hpp"

namespace knotvane::planner {
namespace {

constexpr Time answer_timeout = 5 * sec;
// Maximum number of ranges listed to an operator: at 42 bytes per line or less, they fit into a
// message of 1 MiB. The total covers all ranges.
constexpr std::size_t max_ranges_reported = 20000;

// Merges adjacent ranges, which may come from different shards.
std::vector<control::ByteRange>
merge_adjacent(const std::map<std::uint64_t, std::uint64_t> &ranges) {
    std::vector<control::ByteRange> out;
    for (const auto &[offset, length] : ranges) {
        if (!out.empty() && out.back().offset + out.back().length == offset)
            out.back().length += length;
        else
            out.push_back({offset, length});
    }
    return out;
}

std::string describe(const std::vector<control::ByteRange> &ranges) {
    std::uint64_t total_bytes = 0;
    for (const auto &range : ranges)
        total_bytes += range.length;
    auto out = std::to_string(total_bytes) + " bytes in " + std::to_string(ranges.size()) +
               " ranges differ";
    if (ranges.size() > max_ranges_reported)
        out += "; the first " + std::to_string(max_ranges_reported) + " are";
    for (std::size_t i = 0; i < ranges.size() && i < max_ranges_reported; ++i)
        out += "\n" + std::to_string(ranges[i].offset) + " " + std::to_string(ranges[i].length);
    return out;
}

} // namespace

void DiffQueries::start(SessionId session, VolumeId first, VolumeId second,
                        const std::set<NodeId> &nodes) {
    const auto query_id = ++last_id_;
    auto &query = queries_[query_id];
    query = {session, first, second, nodes, {}, context_.now + answer_timeout};
    for (auto node : nodes)
        send_request(node, query_id, query, 0);
}

void DiffQueries::send_request(NodeId node, std::uint64_t query_id, const Query &query,
                               std::uint64_t from_offset) {
    const auto &nodes = context_.sessions.nodes;
    if (auto it = nodes.find(node); it != nodes.end())
        context_.transport.send(it->second, control::encode(control::DiffRequest{
                                                query_id, query.first, query.second, from_offset}));
}

void DiffQueries::handle_report(NodeId node, const control::DiffReport &report) {
    auto it = queries_.find(report.query_id);
    if (it == queries_.end() || !it->second.awaited_nodes.contains(node))
        return;
    auto &query = it->second;
    for (const auto &range : report.ranges)
        query.ranges[range.offset] = range.length;
    if (report.more && !report.ranges.empty()) {
        send_request(node, report.query_id, query, report.ranges.back().offset + 1);
        return;
    }
    query.awaited_nodes.erase(node);
    if (query.awaited_nodes.empty())
        finish(report.query_id, {});
}

void DiffQueries::finish(std::uint64_t query_id, const std::string &error) {
    const auto query = std::move(queries_.extract(query_id).mapped());
    if (!context_.sessions.all.contains(query.session))
        return;
    control::OperationResult result{true, error.empty(), error};
    if (error.empty())
        result.text = describe(merge_adjacent(query.ranges));
    context_.transport.send(query.session, control::encode(result));
}

void DiffQueries::expire() {
    std::vector<std::uint64_t> expired;
    for (const auto &[query_id, query] : queries_)
        if (context_.now >= query.deadline)
            expired.push_back(query_id);
    for (auto query_id : expired)
        finish(query_id,
               "a node did not answer within " + std::to_string(answer_timeout / sec) + "s");
}

Time DiffQueries::next_due() const {
    Time due = std::numeric_limits<Time>::max();
    for (const auto &[query_id, query] : queries_)
        due = std::min(due, query.deadline);
    return due;
}

} // namespace knotvane::planner
