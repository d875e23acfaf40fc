/// The object that names the declared intent in force: revision, snapshot and recent changes.
#pragma once

#include <vector>

#include "store/objects.h"

namespace stackquay {

/// The key of the head object.
constexpr const char *IntentHeadKey = "intent/head";
/// Snapshots are objects below this prefix; they are never changed. Long ones are compressed, since
/// an object holds a megabyte at most: see packText().
constexpr const char *IntentSnapshotPrefix = "intent/snapshot/";
/// How long the head names a change, so that its writer can still find out what became of it.
constexpr std::chrono::minutes IntentChangeRetention{ 10 };

/// One committed change.
struct IntentChange {
    ChangeId m_id;
    uint64_t m_revision = 0; ///< The revision that it made.
    std::string m_operator;
    std::string m_statement;
    std::string m_snapshot; ///< Key of the snapshot of that revision.
    WallTime m_at{}; ///< By the clock of the node that wrote it.
};

struct IntentHead {
    uint64_t m_revision = 0; ///< 0: nothing was ever declared.
    std::string m_snapshot; ///< Key of the snapshot object; empty at revision 0.
    std::vector<IntentChange> m_changes; ///< Recent ones, oldest first.
    ObjectVersion m_version = NoObject; ///< Of the head object; not part of its value.
};

std::string formatIntentHead(const IntentHead &head);
/// ProtocolError if @p object is not a head.
Result<IntentHead> parseIntentHead(const VersionedObject &object);

/// The change with this id, or null.
const IntentChange *findChange(const IntentHead &head, const ChangeId &id);
/// Whether the head names every change after @p revision.
bool namesChangesAfter(const IntentHead &head, uint64_t revision);
/// Appends the change that leads to the next revision, and takes out and returns those that are
/// older than the retention (with a margin for clocks that differ).
std::vector<IntentChange> appendChange(IntentHead &head, IntentChange change);

} // namespace stackquay
