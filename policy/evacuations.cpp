#include "policy/evacuations.h"

namespace stackquay {

bool mergeEvacuations(Evacuations &own, const Evacuations &offered)
{
    if (offered.m_position <= own.m_position)
        return false;
    own = offered;
    return true;
}

} // namespace stackquay
