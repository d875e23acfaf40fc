/// Objects of the platform's service as values, and the calls on them.
///
/// Every call may also fail with ResourceExhausted (rate used up), Unavailable (the service cannot
/// be reached, nothing was written) or Cancelled (the thread stops). A write whose answer was lost
/// fails with OutcomeUnknown: it may have taken effect, or may still do so.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace stackquay {

/// Counts the writes of one object, from 1. As a condition, NoObject means "create only".
using ObjectVersion = uint64_t;
constexpr ObjectVersion NoObject = 0;

/// Longest value that the service takes, in bytes.
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
    uint64_t m_sequence = 0; ///< Where a watch has to start so as to miss nothing.
};

struct ObjectEvent {
    std::string m_key;
    ObjectVersion m_version = NoObject;
    bool m_deleted = false;
};

struct ObjectEvents {
    std::vector<ObjectEvent> m_events; ///< Empty when the watch timed out.
    uint64_t m_sequence = 0; ///< Where the next watch has to start.
};

/// The calls, so that what builds on them can be tested without a network.
class ObjectApi
{
public:
    virtual ~ObjectApi() = default;

    /// NotFound if there is no such object.
    virtual Result<VersionedObject> get(const std::string &key) = 0;
    /// Writes if the object's version is @p condition, or always without one. Returns the new
    /// version, or Conflict.
    virtual Result<ObjectVersion> put(const std::string &key, const std::string &value,
                                      std::optional<ObjectVersion> condition) = 0;
    /// Removes if the object's version is @p condition. Conflict or NotFound otherwise.
    virtual Status remove(const std::string &key, std::optional<ObjectVersion> condition) = 0;
    virtual Result<ObjectList> list(const std::string &prefix) = 0;
    /// Waits up to @p timeout for changes after sequence @p from. NotFound if @p from is too old:
    /// list again.
    virtual Result<ObjectEvents> watch(const std::string &prefix, uint64_t from,
                                       Duration timeout) = 0;
};

} // namespace stackquay
