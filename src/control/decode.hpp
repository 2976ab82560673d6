/// \file
/// Reads control messages from a byte stream (docs/planner-protocol.md) and hands each to a
/// handler.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "control/messages.hpp"
#include "control/protocol_error.hpp"

namespace knotvane::control {

/// One side of a connection. It overrides `handle` for the messages that it expects; any other
/// ends in `unexpected`.
class MessageHandler {
public:
    virtual ~MessageHandler() = default;

    virtual void handle(const EdgeHello &) { unexpected("edge hello"); }
    virtual void handle(const LeaseRenewal &) { unexpected("lease renewal"); }
    virtual void handle(const FullStateRequest &) { unexpected("full state request"); }
    virtual void handle(const VolumeServed &) { unexpected("volume served"); }
    virtual void handle(const ReachabilityReport &) { unexpected("reachability report"); }
    virtual void handle(const Superseded &) { unexpected("superseded"); }
    virtual void handle(const NodeHello &) { unexpected("node hello"); }
    virtual void handle(const NodeRenewal &) { unexpected("node renewal"); }
    virtual void handle(const StatusRequest &) { unexpected("status request"); }
    virtual void handle(const DrainRequest &) { unexpected("drain request"); }
    virtual void handle(const SnapshotRequest &) { unexpected("snapshot request"); }
    virtual void handle(const SnapshotStepReport &) { unexpected("snapshot step report"); }
    virtual void handle(const DiffReport &) { unexpected("diff report"); }
    virtual void handle(const UpdateBegin &) { unexpected("update begin"); }
    virtual void handle(const NodeUpdate &) { unexpected("node update"); }
    virtual void handle(const PlanUpdate &) { unexpected("plan update"); }
    virtual void handle(const VolumeUpdate &) { unexpected("volume update"); }
    virtual void handle(const QuotaShareUpdate &) { unexpected("quota share update"); }
    virtual void handle(const NodeRemoval &) { unexpected("node removal"); }
    virtual void handle(const PlanRemoval &) { unexpected("plan removal"); }
    virtual void handle(const VolumeRemoval &) { unexpected("volume removal"); }
    virtual void handle(const QuotaShareRemoval &) { unexpected("quota share removal"); }
    virtual void handle(const UpdateEnd &) { unexpected("update end"); }
    virtual void handle(const LeaseRenewed &) { unexpected("lease renewed"); }
    virtual void handle(const NodeStateNotice &) { unexpected("node state notice"); }
    virtual void handle(const Status &) { unexpected("status"); }
    virtual void handle(const OperationResult &) { unexpected("operation result"); }
    virtual void handle(const ReachabilityRequest &) { unexpected("reachability request"); }
    virtual void handle(const SnapshotHold &) { unexpected("snapshot hold"); }
    virtual void handle(const SnapshotResume &) { unexpected("snapshot resume"); }
    virtual void handle(const SnapshotRelease &) { unexpected("snapshot release"); }
    virtual void handle(const SnapshotOpen &) { unexpected("snapshot open"); }
    virtual void handle(const SnapshotSeal &) { unexpected("snapshot seal"); }
    virtual void handle(const SnapshotDrop &) { unexpected("snapshot drop"); }
    virtual void handle(const CloneOpen &) { unexpected("clone open"); }
    virtual void handle(const DiffRequest &) { unexpected("diff request"); }

protected:
    /// A message came that this side does not expect. Later messages of the same bytes still come.
    /// \param message  its name, for the log
    virtual void unexpected(std::string_view message) = 0;
};

/// Cuts a byte stream into messages. Bytes of a message that is not complete yet are kept.
class MessageDecoder {
public:
    /// Decodes what is complete and calls `handler` for each message, in order.
    /// \throws ProtocolError  the bytes are no message. Messages before them were handled; nothing
    ///                        after them is read, and every later call throws the same.
    void decode(std::string_view bytes, MessageHandler &handler);

private:
    void decode_messages(MessageHandler &handler);

    std::string buffer_;
    std::optional<ProtocolError> error_;
};

} // namespace knotvane::control
