/// Checks of a whole intent before it is accepted.
#pragma once

#include <string>
#include <vector>

#include "policy/intent.h"

namespace stackquay {

/// One thing that is wrong with an intent.
struct IntentProblem {
    std::string m_entity; ///< Kind and name, such as "model hint-forge".
    std::string m_field; ///< Name in the operators' language, such as "replicas".
    std::string m_found;
    std::string m_allowed;

    bool operator==(const IntentProblem &) const = default;
};

/// "model hint-forge, replicas: found 9 in dundee-hall, allowed up to 7, its engines there."
std::string toString(const IntentProblem &problem);

/// Every problem of the intent, in the order of its entities; empty if it may be accepted.
std::vector<IntentProblem> checkIntent(const Intent &intent);

} // namespace stackquay
