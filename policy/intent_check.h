/// Validates a whole intent before it is accepted.
#pragma once

#include <string>
#include <vector>

#include "policy/intent.h"

namespace stackquay {

/// One validation error of an intent.
struct IntentProblem {
    std::string m_entity; ///< Kind and name, such as "model hint-forge".
    std::string m_field; ///< Name as operators write it, such as "replicas".
    std::string m_found; ///< The invalid value, as text.
    std::string m_allowed; ///< Which values are allowed, as text.

    bool operator==(const IntentProblem &) const = default;
};

/// Message for operators, such as
/// "model hint-forge, replicas: found 9 in dundee-hall, allowed up to 7, its engines there."
std::string toString(const IntentProblem &problem);

/// All problems of the intent, grouped by check and in the order of its entities; empty if it is
/// valid.
std::vector<IntentProblem> checkIntent(const Intent &intent);

} // namespace stackquay
