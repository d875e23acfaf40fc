/// Slices of one customer's limits, which a steward grants to the nodes of a data centre.
///
/// Each node may always use a small fallback amount, which needs no steward. A node requests a
/// slice from its steward; while it holds one, it uses the slice in place of its fallback amount,
/// so that the steward may grant the capacity of idle nodes to busy ones. The steward grants slices
/// only while it holds the leader lease (leader_lease.h), and no slice outlasts that lease.
///
/// The sum of what nodes use stays within the limit even if messages are lost, duplicated or
/// delayed and processes are paused:
/// - A node counts the life of a slice from when it sent the request, the steward from when it
///   answers, which is later. So the node stops using it first.
/// - The steward counts the largest of all slices that a node may still hold, until a request of
///   the node states which one it holds.
/// - After a node got a slice, its use of the fallback amount is capped by that slice. This cap
///   lasts longer than the slice. The steward relies on it only from its own timestamp, which the
///   node's request sends back and which is earlier than the start of the node's count; and only
///   if the cap lasts until the end of the slices that are granted because of it.
/// - A process may use its fallback amount only once it has run for longer than the fallback cap,
///   so that the cap of a dead process and the fallback amount of its successor never add up.
/// - At most SliceLimits::m_maxNodes processes run in the data centre at once.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/core.h"
#include "policy/admission.h"
#include "policy/limit_amount.h"

namespace stackquay {

struct SliceSettings {
    Duration m_ttl = Seconds(10); ///< Life of a slice, from when the node sends its request.
    Duration m_minTtl = Seconds(1); ///< No slice is granted for a shorter time.
    /// How long the fallback cap lasts, from when the node sends its request; more than twice
    /// m_ttl.
    Duration m_fallbackCap = Seconds(25);
    Duration m_requestInterval = Seconds(2);
    double m_clockDrift = 0.01; ///< Max relative difference of the rates of two clocks.
    /// Weight of a node without demand, as a fraction of an equal share of the limit.
    double m_idleWeight = 0.1;
};

/// What the data centre may use of a customer's limit.
struct SliceLimits {
    LimitAmount m_total;
    /// What one node without a slice may use. If nodes may apply different revisions of the intent:
    /// the largest amount of these revisions.
    LimitAmount m_fallback;
    uint32_t m_maxNodes = 1; ///< Max number of processes in the data centre at any time.
};

/// Reserves the fraction @p reserved (0 to 1) of the total for fallback amounts, in equal parts for
/// @p maxNodes nodes.
SliceLimits makeSliceLimits(const LimitAmount &total, double reserved, uint32_t maxNodes);

/// Identifies the process that answered as steward. Timestamps of one term are comparable.
struct SliceTerm {
    VmId m_steward;
    uint64_t m_incarnation = 0;

    auto operator<=>(const SliceTerm &) const = default;
    MSGPACK_DEFINE(m_steward, m_incarnation)
};

/// One process of a VM.
struct SliceNodeId {
    VmId m_vm;
    uint64_t m_incarnation = 0;

    auto operator<=>(const SliceNodeId &) const = default;
    MSGPACK_DEFINE(m_vm, m_incarnation)
};

/// Message from a node to the steward, sent every m_requestInterval or when the demand changes
/// much.
struct SliceRequest {
    CustomerId m_customer;
    SliceNodeId m_node;
    uint64_t m_number = 0; ///< Sequence number of the node's requests, from 1.
    uint64_t m_heldNumber = 0; ///< Number of the request whose slice the node holds; 0: none.
    bool m_fallbackAllowed = false; ///< The node has run long enough to use its fallback amount.
    LimitAmount m_demand; ///< What the node would use, refused client requests included.
    LimitAmount m_inUse; ///< Client requests in progress; the rate is ignored.
    SliceTerm m_echoedTerm; ///< Term of the last grant that the node received.
    TimePoint m_echoedTimestamp{}; ///< The steward's timestamp in that grant.
};

/// Message from the steward to a node.
struct SliceGrant {
    CustomerId m_customer;
    SliceNodeId m_node;
    uint64_t m_number = 0; ///< Number of the request that it answers.
    LimitAmount m_amount;
    Duration m_ttl{}; ///< From when the node sent that request.
    Duration m_fallbackCap{}; ///< From when the node sent that request.
    SliceTerm m_term;
    TimePoint m_timestamp{}; ///< By the steward's clock; the node echoes it in its next requests.
};

/// State of a node for one customer.
struct SliceHolder {
    static constexpr size_t RecentRequestCount = 8;
    struct SentRequest {
        uint64_t m_number = 0;
        TimePoint m_sent{};
    };

    SliceSettings m_settings;
    CustomerId m_customer;
    SliceNodeId m_node;
    LimitAmount m_fallback;
    TimePoint m_started{}; ///< When the node's process started.

    uint64_t m_lastNumber = 0; ///< Of the latest request.
    std::array<SentRequest, RecentRequestCount> m_recentRequests{}; ///< By number, as a ring.
    uint64_t m_heldNumber = 0; ///< Number of the request whose slice is m_slice; 0: none.
    LimitAmount m_slice;
    TimePoint m_expiry{}; ///< Of m_slice.
    TimePoint m_fallbackCappedUntil{}; ///< The fallback amount is capped by m_slice until then.
    SliceTerm m_echoedTerm;
    TimePoint m_echoedTimestamp{};
};

/// What the node may use now: the slice if it holds one, else the fallback amount, capped by the
/// last slice if that cap still lasts. Nothing if it holds no slice soon after its start.
LimitAmount usableAmount(const SliceHolder &holder, TimePoint now);
/// When usableAmount() changes next if no message arrives; no value if it does not.
std::optional<TimePoint> nextSliceChange(const SliceHolder &holder, TimePoint now);
/// Makes the next request to the steward; it has to be sent at @p now.
SliceRequest makeSliceRequest(SliceHolder &holder, const LimitAmount &demand,
                              const LimitAmount &inUse, TimePoint now);
/// Applies a grant. Returns false, and keeps the current slice, if the grant is expired, outdated,
/// a duplicate or for another node.
bool receiveGrant(SliceHolder &holder, const SliceGrant &grant, TimePoint now);
/// Converts the usable amount for admission. A rate or concurrency that @p declared does not limit
/// (0 in the intent) has no value.
LimitSlice toLimitSlice(const LimitAmount &usable, const LimitAmount &declared);

/// A granted slice that a node may still hold, as handed over to the next steward.
struct OutstandingSlice {
    SliceNodeId m_node;
    uint64_t m_number = 0;
    LimitAmount m_amount;
    Duration m_remaining{}; ///< Upper bound of its remaining life.
    bool m_fallbackAllowed = false; ///< As in the node's last request.
    Duration m_fallbackCapRemaining{}; ///< Lower bound of how long the node's cap still lasts.
};

/// State of a steward for one customer.
struct SliceAllocator {
    struct Grant {
        uint64_t m_number = 0;
        LimitAmount m_amount;
        TimePoint m_expiresBy{}; ///< The node has stopped using the slice by then.
        /// The node's fallback amount is capped until then, if it received the grant.
        TimePoint m_fallbackCappedUntil{};
    };
    struct Node {
        std::vector<Grant> m_grants; ///< In order of numbers; the node may hold any of them.
        uint64_t m_lastNumber = 0; ///< Of the node's latest request.
        bool m_fallbackAllowed = false; ///< As in the node's last request.
        /// The node's fallback amount is capped by m_grants until then.
        TimePoint m_fallbackCappedUntil{};
        LimitAmount m_demand;
        LimitAmount m_inUse;
        TimePoint m_lastRequestAt{};
    };

    SliceSettings m_settings;
    CustomerId m_customer;
    SliceTerm m_term;
    SliceLimits m_limits;
    TimePoint m_leaseUntil{}; ///< End of the leader lease; no slice lasts longer.
    std::map<SliceNodeId, Node> m_nodes;
};

/// Starts to grant slices, or continues with a renewed lease. Must be called each time that the
/// lease is written or received. Assumes that no slices of other stewards are outstanding except
/// @p handedOver, which answered a handover request sent at @p requestedAt.
void startAllocating(SliceAllocator &allocator, TimePoint leaseUntil,
                     const std::vector<OutstandingSlice> &handedOver, TimePoint requestedAt,
                     TimePoint now);
/// Stops granting slices, and returns those that nodes may still hold.
std::vector<OutstandingSlice> stopAllocating(SliceAllocator &allocator, TimePoint now);
/// Answers a request with a slice. No value if the remaining lease is shorter than m_minTtl or the
/// request is not newer than the node's last one.
std::optional<SliceGrant> receiveSliceRequest(SliceAllocator &allocator,
                                              const SliceRequest &request, TimePoint now);
/// Upper bound of what all nodes together may use now, fallback amounts included.
LimitAmount maxUse(const SliceAllocator &allocator, TimePoint now);
/// Removes nodes that have no outstanding slice or fallback cap and sent no request for m_ttl.
void removeIdleNodes(SliceAllocator &allocator, TimePoint now);

} // namespace stackquay
