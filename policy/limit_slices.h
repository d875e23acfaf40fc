/// Slices of one customer's limits, lent by its steward to the nodes of a data centre.
///
/// Each node always has a right to a small fallback part, which needs no steward. A node asks its
/// steward for a slice; while it holds one, it uses the slice in place of its fallback part, so
/// that the steward may lend the parts of idle nodes to busy ones. The steward lends only while it
/// has the tenure (tenure.h), and no slice outlasts it.
///
/// What keeps the sum within the limit, whatever is lost, repeated, late or paused:
/// - A node counts a slice's time from when it sent the ask; the steward, from when it answers,
///   which is later. So the node stops first.
/// - The steward counts the larger of all slices that a node may still hold, until an ask of the
///   node says which it holds.
/// - A node that got a slice does not use more of its fallback part than that slice, for a quiet
///   time longer than the slice's life. The steward relies on that only from its own time stamp,
///   which the node's ask sent back, which is earlier than the node's count; and only if the quiet
///   time outlasts the slices that it makes possible.
/// - A node may use its fallback part only once it has run for longer than the quiet time, so that
///   a dead node's promise and its successor's fallback part never add up.
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
    Duration m_ttl = Seconds(10); ///< Of a slice, from the node's ask.
    Duration m_shortestTtl = Seconds(1); ///< No slice is lent for less.
    Duration m_quiet = Seconds(25); ///< From the node's ask; more than twice m_ttl.
    Duration m_askEvery = Seconds(2);
    double m_clockDrift = 0.01; ///< Largest relative difference of two clocks' rates.
    /// Weight of a node without demand beside one that wants an equal part of the limit.
    double m_idleWeight = 0.1;
};

/// What the data centre may use of a customer's limit.
struct SliceLimits {
    LimitAmount m_total;
    /// Of one node without a slice. Where nodes may have different revisions: the largest of them.
    LimitAmount m_fallback;
    uint32_t m_maxNodes = 1; ///< Most processes in the data centre at any time.
};

/// The fallback part is @p reserved (0 to 1) of the total, split equally over @p maxNodes.
SliceLimits makeSliceLimits(const LimitAmount &total, double reserved, uint32_t maxNodes);

/// Which process answered as steward; its time stamps are comparable.
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

/// From a node to the steward, every m_askEvery or when its demand changes much.
struct SliceAsk {
    CustomerId m_customer;
    SliceNodeId m_node;
    uint64_t m_number = 0; ///< Grows with each ask of the node; from 1.
    uint64_t m_held = 0; ///< Number of the ask whose slice it holds; 0: none.
    bool m_settled = false; ///< It has run for long enough to use its fallback part.
    LimitAmount m_demand; ///< What it would use, refused requests included.
    LimitAmount m_inUse; ///< Concurrency in progress; the rate is not used.
    SliceTerm m_echoTerm; ///< Of the last answer that it got.
    TimePoint m_echo{}; ///< The steward's own time stamp in that answer.
};

/// From the steward to a node.
struct SliceGrant {
    CustomerId m_customer;
    SliceNodeId m_node;
    uint64_t m_number = 0; ///< Of the ask that it answers.
    LimitAmount m_amount;
    Duration m_ttl{}; ///< From when the node sent that ask.
    Duration m_quiet{}; ///< From when the node sent that ask.
    SliceTerm m_term;
    TimePoint m_stamp{}; ///< By the steward's clock; the node sends it back.
};

/// The node's side.
struct SliceHolder {
    static constexpr size_t RememberedAsks = 8;
    struct SentAsk {
        uint64_t m_number = 0;
        TimePoint m_sent{};
    };

    SliceSettings m_settings;
    CustomerId m_customer;
    SliceNodeId m_node;
    LimitAmount m_fallback;
    TimePoint m_started{}; ///< When the process started.

    uint64_t m_lastNumber = 0;
    std::array<SentAsk, RememberedAsks> m_asks{};
    uint64_t m_held = 0;
    LimitAmount m_slice;
    TimePoint m_expiry{};
    TimePoint m_quietUntil{}; ///< Until then at most m_slice, also after its expiry.
    SliceTerm m_echoTerm;
    TimePoint m_echo{};
};

/// What the node may use now: the slice, or else the fallback part, or, soon after its start,
/// nothing.
LimitAmount usableAmount(const SliceHolder &holder, TimePoint now);
/// When usableAmount() will next change without a message, if it will.
std::optional<TimePoint> nextSliceChange(const SliceHolder &holder, TimePoint now);
SliceAsk makeAsk(SliceHolder &holder, const LimitAmount &demand, const LimitAmount &inUse,
                 TimePoint now);
/// True if the slice was taken; false if it is old, repeated or not this node's.
bool receiveGrant(SliceHolder &holder, const SliceGrant &grant, TimePoint now);
/// For admission. Parts that the customer has no limit for (0 in the intent) have no value.
LimitSlice toLimitSlice(const LimitAmount &usable, const LimitAmount &declared);

/// One slice that a node may still hold.
struct LentSlice {
    SliceNodeId m_node;
    uint64_t m_number = 0;
    LimitAmount m_amount;
    Duration m_left{}; ///< At most.
    bool m_settled = false; ///< As in the node's last ask.
    Duration m_quietLeft{}; ///< At least; of the node's quiet time.
};

/// The steward's side.
struct SliceLender {
    struct Lent {
        uint64_t m_number = 0;
        LimitAmount m_amount;
        TimePoint m_until{}; ///< The node has stopped using it by then.
        TimePoint m_quietUntil{}; ///< The node will be quiet until then, if it took it.
    };
    struct Node {
        std::vector<Lent> m_lent; ///< By number; the node may hold any of them.
        uint64_t m_lastNumber = 0;
        bool m_settled = false;
        TimePoint m_quietUntil{}; ///< It uses no more than m_lent before.
        LimitAmount m_demand;
        LimitAmount m_inUse;
        TimePoint m_heard{};
    };

    SliceSettings m_settings;
    CustomerId m_customer;
    SliceTerm m_term;
    SliceLimits m_limits;
    TimePoint m_tenureUntil{}; ///< Lends nothing that lasts longer.
    std::map<SliceNodeId, Node> m_nodes;
};

/// Begins to lend, or goes on with a renewed tenure. To be called each time that the tenure is
/// written or received. Nothing that others lent is left, but for @p handedOver, which answered a
/// question sent at @p asked.
void beginLending(SliceLender &lender, TimePoint tenureUntil,
                  const std::vector<LentSlice> &handedOver, TimePoint asked, TimePoint now);
/// Stops lending, and returns what nodes may still hold.
std::vector<LentSlice> stopLending(SliceLender &lender, TimePoint now);
/// Answers an ask; no value if it cannot lend now, or the ask is old.
std::optional<SliceGrant> receiveAsk(SliceLender &lender, const SliceAsk &ask, TimePoint now);
/// Upper bound of what all nodes may use now, fallback parts included.
LimitAmount boundOnUse(const SliceLender &lender, TimePoint now);
/// Forgets nodes that hold nothing and were not heard from for a while.
void forgetIdleNodes(SliceLender &lender, TimePoint now);

} // namespace stackquay
