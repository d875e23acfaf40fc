/// The latest changes of an endpoint directory, so that a VM sends its peers the changed entries
/// instead of the whole directory.
///
/// Changes are recorded by the position that the directory has after them. Positions come from the
/// store, so a VM can tell a peer what changed since a position that the peer got from another VM.
#pragma once

#include <deque>
#include <optional>
#include <unordered_set>
#include <vector>

#include "policy/endpoint_directory.h"

namespace stackquay {

/// The difference between two states of a directory. Sets that are mostly empty are sent whole.
struct DirectoryChanges {
    StorePosition m_from; ///< Position of the directory to which the changes apply.
    std::vector<EndpointRecord> m_changed; ///< Added or changed.
    std::vector<EndpointId> m_removed;
};

struct DirectoryHistory {
    struct Entry {
        StorePosition m_position; ///< Of the directory after the changes.
        std::vector<EndpointId> m_endpoints; ///< Added, changed or removed.
    };

    size_t m_maxEndpoints = 1'024; ///< Bounds the sum of the endpoints of all entries.
    StorePosition m_from; ///< Changes after this position are recorded; unknown: none are.
    std::deque<Entry> m_entries; ///< In ascending order of positions.
    size_t m_endpoints = 0; ///< The sum of the endpoints of all entries.
    uint64_t m_digest = 0; ///< digestOf() the latest state.
};

/// Records the difference between two successive states of the directory. The history starts anew
/// at @p now if the store was restored from a backup in between, or if @p before has no position.
void recordChanges(DirectoryHistory &history, const EndpointDirectory &before,
                   const EndpointDirectory &now);

/// What changed in @p directory, the latest state recorded, since @p from. Nothing if the history
/// does not reach back so far.
std::optional<DirectoryChanges> changesSince(const DirectoryHistory &history,
                                             const EndpointDirectory &directory,
                                             const StorePosition &from);

/// Digest of the endpoints, equal for equal maps. VMs compare it after they applied changes.
uint64_t digestOf(const EndpointMap &endpoints);

/// The endpoints of @p own after @p changes; nothing if they apply to another position.
std::optional<EndpointMap> applyChanges(const EndpointDirectory &own,
                                        const DirectoryChanges &changes);

} // namespace stackquay
