/// The objects of the platform's service: versions, conditional updates and a log of changes.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace stackquay::standin {

struct StoredObject {
    std::string m_value;
    uint64_t m_version = 0;
};

struct ObjectChange {
    uint64_t m_sequence = 0;
    std::string m_key;
    uint64_t m_version = 0; ///< Of a deletion: the last version that the object had.
    bool m_deleted = false;
};

struct ListedObject {
    std::string m_key;
    uint64_t m_version = 0;
};

/// The answer to a conditional write.
struct WriteOutcome {
    bool m_applied = false;
    bool m_found = true;
    uint64_t m_version = 0; ///< The new version, or the one that stood in the way.
};

struct ObjectStore {
    std::map<std::string, StoredObject, std::less<>> m_objects;
    std::deque<ObjectChange> m_changes;
    uint64_t m_sequence = 0; ///< Of the last change.
    size_t m_changesKept = 4096;
};

/// Whether @p key is a path of `[A-Za-z0-9._-]` separated by `/`.
bool validObjectKey(std::string_view key);
/// Writes if the object has @p ifVersion (0: if it does not exist; none: always).
WriteOutcome putObject(ObjectStore &store, const std::string &key, std::string value,
                       std::optional<uint64_t> ifVersion);
WriteOutcome deleteObject(ObjectStore &store, const std::string &key,
                          std::optional<uint64_t> ifVersion);
std::vector<ListedObject> listObjects(const ObjectStore &store, std::string_view prefix);
/// Whether every change after @p sequence is still in the log.
bool hasChangesSince(const ObjectStore &store, uint64_t sequence);
std::vector<ObjectChange> changesSince(const ObjectStore &store, uint64_t sequence,
                                       std::string_view prefix);
/// Forgets all changes up to now, as a platform does when it compacts its log.
void compactChanges(ObjectStore &store);

} // namespace stackquay::standin
