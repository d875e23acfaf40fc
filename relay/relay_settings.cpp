#include "relay/relay_settings.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Of a process without clients: code, threads, configuration, directory and store calls.
constexpr size_t ProcessBytes = size_t(32) << 20;
/// Of a connection: the stack of its fiber, its allowances and its socket.
constexpr size_t StackBytes = 16 * 1024;
constexpr size_t ConnectionBytes = StackBytes + ClientConnection::RequestAllowance
                                   + ClientConnection::AnswerAllowance + ClientReceiveBytes;
/// The rest is for memory that the allocator cannot give out again.
constexpr size_t BudgetQuarters = 3;
/// Even on the smallest machine, a request and its answer of the greatest length are served.
constexpr size_t MinClientMemory = 4 * MaxResponseBytes;

} // namespace

Duration knowledgeBound(const RelayBounds &bounds)
{
    Millis bound = std::min(bounds.m_configurationTime, bounds.m_drainTime);
    if (bounds.m_strictKeys)
        bound = std::min(bound, bounds.m_revocationTime);
    if (bounds.m_evacuationTime > Millis(0))
        bound = std::min(bound, bounds.m_evacuationTime);
    return bound;
}

size_t clientMemory(const RelaySettings &settings)
{
    const size_t needed = ProcessBytes + settings.m_connections * ConnectionBytes;
    const size_t rest = settings.m_memoryBytes - std::min(settings.m_memoryBytes, needed);
    return std::max(rest / 4 * BudgetQuarters, MinClientMemory);
}

} // namespace stackquay
