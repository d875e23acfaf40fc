/// The head object of the declared intent: current revision, key of its snapshot, recent changes.
#pragma once

#include <vector>

#include "store/objects.h"

namespace stackquay {

constexpr const char *IntentHeadKey = "intent/head";
/// Key prefix of the snapshots, which are immutable objects. Long ones are compressed, see
/// packText(), since an object holds at most one megabyte.
constexpr const char *IntentSnapshotPrefix = "intent/snapshot/";
/// How long the head lists a change, so that its writer can find out whether it was committed.
constexpr std::chrono::minutes IntentChangeRetention{ 10 };

/// One committed change.
struct IntentChange {
    ChangeId m_id;
    uint64_t m_revision = 0; ///< The revision that the change created.
    std::string m_operator; ///< Who made the change.
    std::string m_statement;
    std::string m_snapshot; ///< Key of the snapshot at that revision.
    WallTime m_at{}; ///< Time of the commit by the clock of the writing node.
};

struct IntentHead {
    uint64_t m_revision = 0; ///< 0: no intent was ever committed.
    std::string m_snapshot; ///< Key of the snapshot object; empty at revision 0.
    std::vector<IntentChange> m_changes; ///< Recent ones, oldest first.
    ObjectVersion m_version = NoObject; ///< Version of the head object; not stored in its value.
};

std::string formatIntentHead(const IntentHead &head);
/// ProtocolError if @p object is not an intent head.
Result<IntentHead> parseIntentHead(const VersionedObject &object);

/// The listed change with this ID, or nullptr.
const IntentChange *findChange(const IntentHead &head, const ChangeId &id);
/// Whether the head lists every change after @p revision.
bool listsChangesAfter(const IntentHead &head, uint64_t revision);
/// Appends @p change as the next revision. Removes and returns the changes that are older than the
/// retention, with a margin for clock skew.
std::vector<IntentChange> appendChange(IntentHead &head, IntentChange change);

} // namespace stackquay
