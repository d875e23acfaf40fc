/// Interface of the platform's object store, and the types of its calls.
///
/// Every call may also fail with ResourceExhausted (rate limit exceeded), Unavailable (the store
/// cannot be reached, nothing was written) or Cancelled (the thread is stopping). A write whose
/// response was lost fails with OutcomeUnknown: it may have been applied, or may still be.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace stackquay {

/// Number of writes of one object so far, starting at 1. As the condition of a write, NoObject
/// means that the object must not exist yet.
using ObjectVersion = uint64_t;
constexpr ObjectVersion NoObject = 0;

/// Largest value that the store accepts, in bytes.
constexpr size_t ObjectValueLimit = 1024 * 1024;

struct VersionedObject {
    std::string m_key;
    std::string m_value;
    ObjectVersion m_version = NoObject;
};

struct ObjectEntry {
    std::string m_key;
    ObjectVersion m_version = NoObject;
};

struct ObjectList {
    std::vector<ObjectEntry> m_objects;
    uint64_t m_sequence = 0; ///< A watch from here misses no change.
};

struct ObjectEvent {
    std::string m_key;
    ObjectVersion m_version = NoObject;
    bool m_deleted = false;
};

struct ObjectEvents {
    std::vector<ObjectEvent> m_events; ///< Empty when the watch timed out.
    uint64_t m_sequence = 0; ///< Sequence from which to watch next.
};

/// The calls of the object store; tests implement them without a network.
class ObjectApi
{
public:
    virtual ~ObjectApi() = default;

    /// NotFound if there is no such object.
    virtual Result<VersionedObject> get(const std::string &key) = 0;
    /// Writes if the object's version is @p condition; without a condition, always. Returns the new
    /// version. Conflict if the object has another version, InvalidArgument if @p value is too
    /// large.
    virtual Result<ObjectVersion> put(const std::string &key, const std::string &value,
                                      std::optional<ObjectVersion> condition) = 0;
    /// Removes the object if its version is @p condition; without a condition, always. Conflict if
    /// it has another version, NotFound if there is no such object.
    virtual Status remove(const std::string &key, std::optional<ObjectVersion> condition) = 0;
    /// Lists the objects whose keys start with @p prefix.
    virtual Result<ObjectList> list(const std::string &prefix) = 0;
    /// Waits up to @p timeout for changes after sequence @p from of objects whose keys start with
    /// @p prefix. NotFound if the store no longer keeps all changes after @p from: list again.
    virtual Result<ObjectEvents> watch(const std::string &prefix, uint64_t from,
                                       Duration timeout) = 0;
};

} // namespace stackquay
