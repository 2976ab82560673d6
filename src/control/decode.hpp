/// \file
/// Decodes control messages from a byte stream (docs/planner-protocol.md) and passes each to a
/// handler.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "control/messages.hpp"
#include "control/protocol_error.hpp"

namespace knotvane::control {

/// Receives the messages of one side of a connection. Implementations override `handle` for the
/// messages they expect; all others are passed to `handle_unexpected`.
class MessageHandler {
public:
    virtual ~MessageHandler() = default;

    virtual void handle(const EdgeHello &) { handle_unexpected("edge hello"); }
    virtual void handle(const LeaseRenewal &) { handle_unexpected("lease renewal"); }
    virtual void handle(const FullStateRequest &) { handle_unexpected("full state request"); }
    virtual void handle(const VolumeServed &) { handle_unexpected("volume served"); }
    virtual void handle(const ReachabilityReport &) { handle_unexpected("reachability report"); }
    virtual void handle(const Superseded &) { handle_unexpected("superseded"); }
    virtual void handle(const NodeHello &) { handle_unexpected("node hello"); }
    virtual void handle(const NodeRenewal &) { handle_unexpected("node renewal"); }
    virtual void handle(const StatusRequest &) { handle_unexpected("status request"); }
    virtual void handle(const DrainRequest &) { handle_unexpected("drain request"); }
    virtual void handle(const SnapshotRequest &) { handle_unexpected("snapshot request"); }
    virtual void handle(const SnapshotStepReport &) { handle_unexpected("snapshot step report"); }
    virtual void handle(const DiffReport &) { handle_unexpected("diff report"); }
    virtual void handle(const UpdateBegin &) { handle_unexpected("update begin"); }
    virtual void handle(const NodeUpdate &) { handle_unexpected("node update"); }
    virtual void handle(const PlanUpdate &) { handle_unexpected("plan update"); }
    virtual void handle(const VolumeUpdate &) { handle_unexpected("volume update"); }
    virtual void handle(const QuotaShareUpdate &) { handle_unexpected("quota share update"); }
    virtual void handle(const NodeRemoval &) { handle_unexpected("node removal"); }
    virtual void handle(const PlanRemoval &) { handle_unexpected("plan removal"); }
    virtual void handle(const VolumeRemoval &) { handle_unexpected("volume removal"); }
    virtual void handle(const QuotaShareRemoval &) { handle_unexpected("quota share removal"); }
    virtual void handle(const UpdateEnd &) { handle_unexpected("update end"); }
    virtual void handle(const LeaseRenewed &) { handle_unexpected("lease renewed"); }
    virtual void handle(const NodeStateNotice &) { handle_unexpected("node state notice"); }
    virtual void handle(const Status &) { handle_unexpected("status"); }
    virtual void handle(const OperationResult &) { handle_unexpected("operation result"); }
    virtual void handle(const ReachabilityRequest &) { handle_unexpected("reachability request"); }
    virtual void handle(const SnapshotHold &) { handle_unexpected("snapshot hold"); }
    virtual void handle(const SnapshotResume &) { handle_unexpected("snapshot resume"); }
    virtual void handle(const SnapshotRelease &) { handle_unexpected("snapshot release"); }
    virtual void handle(const SnapshotOpen &) { handle_unexpected("snapshot open"); }
    virtual void handle(const SnapshotSeal &) { handle_unexpected("snapshot seal"); }
    virtual void handle(const SnapshotDrop &) { handle_unexpected("snapshot drop"); }
    virtual void handle(const CloneOpen &) { handle_unexpected("clone open"); }
    virtual void handle(const DiffRequest &) { handle_unexpected("diff request"); }

protected:
    /// Called for a message that this side does not expect. The messages after it in the same bytes
    /// are still delivered.
    /// \param message  name of the message, for the log
    virtual void handle_unexpected(std::string_view message) = 0;
};

/// Splits a byte stream into messages. Buffers the bytes of an incomplete message.
class MessageDecoder {
public:
    /// Decodes all complete messages and calls `handler` for each, in order.
    /// \throws ProtocolError  the bytes are not a valid message. Messages before them have been
    ///                        handled; nothing after them is read, and every later call throws the
    ///                        same error.
    void decode(std::string_view bytes, MessageHandler &handler);

private:
    void decode_messages(MessageHandler &handler);

    std::string buffer_;
    std::optional<ProtocolError> error_;
};

} // namespace knotvane::control
