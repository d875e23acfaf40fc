/// Stores the quarantined requests in the object store, so that they survive a restart of all VMs.
///
/// The fleet shares one object with at most MaxEntries entries. A VM writes it only if it observed
/// the process exit that led to a quarantine or that a probe caused, or if a quarantined request
/// completed on it. A VM reads it once, when it first becomes a store watcher; the other VMs
/// receive the content from that VM.
#pragma once

#include <vector>

#include "policy/policy.h"
#include "relay/shared_record.h"
#include "relay/source.h"

namespace stackquay {

using QuarantineRecord = SharedRecord<SuspectReport>;

RecordFormat<SuspectReport> quarantineFormat(const RelaySource &source);

/// Encodes the object's content; @p now is the current time.
std::string encodeQuarantined(const std::vector<SuspectReport> &quarantined, WallTime now);
Result<std::vector<SuspectReport>> decodeQuarantined(const std::string &spec, WallTime now);
/// The union of both lists; of two entries for a request, the one with more exits and probes. Keeps
/// the MaxEntries newest ones.
std::vector<SuspectReport> mergeQuarantined(std::vector<SuspectReport> one,
                                            const std::vector<SuspectReport> &other);

} // namespace stackquay
