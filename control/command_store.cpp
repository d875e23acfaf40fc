#include "control/command_store.h"

namespace stackquay {

void bindStore(CommandEnvironment &environment, IntentStore &intents, ObjectApi &objects)
{
    environment.m_load = [&intents] { return intents.load(); };
    environment.m_loadHead = [&intents] { return intents.loadHead(); };
    environment.m_commit = [&intents](const IntentCommit &commit) { return intents.commit(commit); };
    environment.m_loadSnapshot = [&objects](const std::string &key) -> Result<std::string> {
        auto object = objects.get(key);
        if (!object)
            return tl::unexpected(object.error());
        return std::move(object->m_value);
    };
}

} // namespace stackquay
