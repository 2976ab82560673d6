// Execution of requests and sending of answers.
#include "node/connection.hpp"
#include "node/storage_node.hpp"

namespace knotvane::node {
namespace {

using node_protocol::FrameKind;
using node_protocol::Status;

// Flags of a run of bytes in a block status answer, with the values of NBD's base:allocation
// context.
constexpr std::uint32_t run_of_data = 0;
constexpr std::uint32_t run_of_zeroes = 3;

constexpr double ns_per_second = 1e9;

// Mask of the bit that is flipped in one byte of a corrupted answer.
constexpr char corrupted_bit = 4;

void append_little_endian(std::string &to, std::uint32_t value) {
    constexpr unsigned bits_per_byte = 8;
    for (unsigned i = 0; i < sizeof value; ++i)
        to.push_back(static_cast<char>(value >> (bits_per_byte * i)));
}

bool has_flag(const node_protocol::Frame &frame, std::uint8_t flag) {
    return (frame.flags & flag) != 0;
}

} // namespace

void StorageNode::execute(Time now, const PendingRequest &request) {
    ++served_;
    if (faults_.apply(FaultKind::fail_requests, now))
        return answer(now, request, Status::error);
    // A snapshot may be dropped while an edge has it open. Without this check, its reads would
    // return zeroes.
    if (has_flag(request.frame, node_protocol::flag_snapshot) &&
        !store_.contains(request.frame.volume))
        return answer(now, request, Status::error);

    switch (request.frame.kind) {
    case FrameKind::read:
        return execute_read(now, request);
    case FrameKind::write:
    case FrameKind::zero:
        return execute_mutation(now, request);
    case FrameKind::block_status:
        return execute_block_status(now, request);
    case FrameKind::flush:
        store_.flush();
        break;
    default:
        break;
    }
    answer(now, request, Status::ok);
}

void StorageNode::execute_read(Time now, const PendingRequest &request) {
    const auto &frame = request.frame;
    if (faults_.apply(FaultKind::corrupt_block, now))
        store_.flip_bit(frame.volume, frame.offset);
    std::string data;
    if (!store_.read(frame.volume, frame.offset, frame.length, data))
        return answer(now, request, Status::bad_checksum);
    answer(now, request, Status::ok, data);
}

// Deadline, deduplication mark and epoch are checked only here, right before the change is
// executed: the result of a check on arrival may be outdated after the request waited in the queue.
void StorageNode::execute_mutation(Time now, const PendingRequest &request) {
    const auto &frame = request.frame;
    // Prevents a delayed copy from overwriting data that was written after the edge gave up this
    // attempt.
    if (frame.not_after > 0 && now > frame.not_after)
        return answer(now, request, Status::expired);
    // Prevents a change from being applied a second time, over a later change of the same range.
    bool is_deduplicated = has_flag(frame, node_protocol::flag_deduplicated);
    store::DeduplicationMark mark{frame.incarnation, frame.request_number};
    if (is_deduplicated && store_.was_applied(mark, now))
        return answer(now, request, Status::ok);

    EpochCheck check = check_epoch(frame);
    if (check.status != Status::ok)
        return answer(now, request, check.status, {}, check.epoch_in_force);
    std::uint64_t copies = check.open_snapshot ? 2 : 1;
    if (!store_.has_space_for(copies * frame.length))
        return answer(now, request, Status::no_space);
    if (!apply_mutation(request, check.open_snapshot))
        return answer(now, request, Status::error);

    if (is_deduplicated)
        store_.mark_applied(mark, frame.not_after, now);
    if (has_flag(frame, node_protocol::flag_durable))
        store_.flush();
    answer(now, request, Status::ok);
}

StorageNode::EpochCheck StorageNode::check_epoch(const node_protocol::Frame &change) const {
    auto epoch = store_.epoch(change.volume);
    if (change.epoch >= epoch)
        return {};

    // Prevents a sealed snapshot from holding only one part of a request. The other part could come
    // from an edge that did not drain for the sealed snapshot and drains for the next one.
    if (auto sealed = store_.sealed_epoch(change.volume); change.epoch < sealed)
        return {Status::stale_epoch, sealed, std::nullopt};

    auto open_snapshot = store_.open_snapshot_of(change.volume);
    auto draining = draining_edges_.find(change.volume);
    bool is_draining = draining != draining_edges_.end() &&
                       draining->second.contains(control::EdgeIncarnation{change.incarnation});
    if (is_draining)
        return {Status::ok, 0, open_snapshot};
    // Prevents a change from being in the snapshot on this node and not on another. While the
    // snapshot is open, an edge that is not known to have stopped beginning changes of the old
    // epoch is rejected. If the answer told it the new epoch, it would begin changes of that epoch
    // on nodes that have not opened the snapshot yet.
    if (open_snapshot)
        return {Status::rejected, 0, std::nullopt};
    return {Status::stale_epoch, epoch, std::nullopt};
}

bool StorageNode::apply_mutation(const PendingRequest &request,
                                 std::optional<VolumeId> open_snapshot) {
    const auto &frame = request.frame;
    bool is_write = frame.kind == FrameKind::write;
    if (open_snapshot)
        return is_write
                   ? store_.write_both(frame.volume, *open_snapshot, frame.offset, request.payload)
                   : store_.zero_both(frame.volume, *open_snapshot, frame.offset, frame.length);
    return is_write ? store_.write(frame.volume, frame.offset, request.payload)
                    : store_.zero(frame.volume, frame.offset, frame.length);
}

void StorageNode::execute_block_status(Time now, const PendingRequest &request) {
    const auto &frame = request.frame;
    std::string out;
    for (const store::DataRun &run : store_.data_runs(frame.volume, frame.offset, frame.length)) {
        append_little_endian(out, run.length);
        append_little_endian(out, run.has_data ? run_of_data : run_of_zeroes);
    }
    answer(now, request, Status::ok, out);
}

void StorageNode::answer(Time now, const PendingRequest &request, Status status,
                         std::string_view payload, std::uint32_t epoch) {
    auto it = connections_.find(request.connection);
    if (it == connections_.end() || it->second->is_silenced)
        return;
    const auto &frame = request.frame;
    auto bytes = node_protocol::encode({.kind = FrameKind::answer,
                                        .status = status,
                                        .tag = frame.tag,
                                        .volume = frame.volume,
                                        .offset = frame.offset,
                                        .length = frame.length,
                                        .incarnation = store_.incarnation(),
                                        .request_number = frame.request_number,
                                        .not_after = now,
                                        .shard = shard_,
                                        .payload = payload,
                                        .epoch = epoch});
    // Faults that affect answers apply only to requests that were admitted to the queue.
    if (status == Status::rejected)
        transport_.send(request.connection, std::move(bytes));
    else
        send_answer(now, *it->second, std::move(bytes));
}

void StorageNode::send_answer(Time now, Connection &connection, std::string bytes) {
    if (faults_.apply(FaultKind::go_silent, now)) {
        connection.is_silenced = true;
        transport_.send(connection.id(), bytes.substr(0, bytes.size() / 2));
        return;
    }
    if (faults_.apply(FaultKind::truncate_answer, now)) {
        transport_.send(connection.id(), bytes.substr(0, bytes.size() / 2));
        return close_connection(connection.id(), false);
    }
    if (faults_.apply(FaultKind::corrupt_answer, now)) {
        char &byte = bytes[random_() % bytes.size()];
        byte = static_cast<char>(byte ^ corrupted_bit);
    }
    if (auto delay_seconds = faults_.apply(FaultKind::delay_answer, now)) {
        Time leaves_at = now + static_cast<Time>(*delay_seconds * ns_per_second);
        delayed_answers_.emplace(leaves_at, DelayedAnswer{connection.id(), std::move(bytes)});
        return;
    }
    transport_.send(connection.id(), std::move(bytes));
}

void StorageNode::send_delayed_answers(Time now) {
    while (!delayed_answers_.empty() && delayed_answers_.begin()->first <= now) {
        DelayedAnswer answer = std::move(delayed_answers_.begin()->second);
        delayed_answers_.erase(delayed_answers_.begin());
        auto it = connections_.find(answer.connection);
        if (it != connections_.end() && !it->second->is_silenced)
            transport_.send(answer.connection, std::move(answer.bytes));
    }
}

} // namespace knotvane::node
