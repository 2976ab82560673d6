#include "http_gateway/trace_id_history.hpp"

#include <functional>

namespace knotvane::http_gateway {
namespace {

std::uint64_t hash_of(std::string_view trace_id) {
    return std::hash<std::string_view>{}(trace_id);
}

} // namespace

bool TraceIdHistory::add(std::string_view trace_id) {
    return hashes_.insert(hash_of(trace_id)).second;
}

void TraceIdHistory::request_done(Time now, std::string_view trace_id, bool sent) {
    if (sent)
        sent_.emplace_back(now, hash_of(trace_id));
    else
        unsent_.push_back(hash_of(trace_id));
    forget_old(now);
}

void TraceIdHistory::forget_old(Time now) {
    while (unsent_.size() > max_unsent_ids) {
        hashes_.erase(unsent_.front());
        unsent_.pop_front();
    }
    while (!sent_.empty() &&
           (sent_.size() > max_sent_ids || sent_.front().first < now - retention)) {
        hashes_.erase(sent_.front().second);
        sent_.pop_front();
    }
}

} // namespace knotvane::http_gateway
