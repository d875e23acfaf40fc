/// Stores the quarantined parts of prompts in the object store. Unlike the quarantined requests,
/// store watchers read them again when an engine has crashed: the VMs of a data centre that is cut
/// off from the others may still reach the store.
#pragma once

#include <vector>

#include "policy/policy.h"
#include "relay/shared_record.h"
#include "relay/source.h"

namespace stackquay {

using PartRecord = SharedRecord<PartReport>;

RecordFormat<PartReport> partFormat(const RelaySource &source);

/// Encodes the object's content; @p now is the current time.
std::string encodeParts(const std::vector<PartReport> &parts, WallTime now);
Result<std::vector<PartReport>> decodeParts(const std::string &spec, WallTime now);
/// The union of both lists and of the crashes of each part. Keeps a limited number of the newest
/// ones.
std::vector<PartReport> mergeParts(std::vector<PartReport> one,
                                   const std::vector<PartReport> &other);

} // namespace stackquay
