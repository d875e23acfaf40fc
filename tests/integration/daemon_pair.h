/// What tests of two real daemons have in common: one enters requests, the other holds the shard.
#pragma once

#include <thread>

#include <gtest/gtest.h>

#include "entry/entry.h"
#include "standin/standin.h"
#include "store/store.h"
#include "tests/support/process.h"

namespace stackquay {

inline constexpr const char *DataCentreName = "dundee-hall";
inline constexpr const char *ModelName = "hint-forge";
inline constexpr Millis PollPause{ 5 };

using HostedPlatform = standin::Hosted<standin::PlatformStandin>;

/// Waits for an event; CTest's limit ends a wait in vain.
template<typename Condition>
void awaitEvent(Condition condition)
{
    while (!condition())
        std::this_thread::sleep_for(PollPause);
}

/// Names for the entry node and the steward, so that the second holds the engines' shard.
inline std::pair<std::string, std::string> nodeNames()
{
    const std::string shard =
        shardKey(DataCentreId(std::string(DataCentreName) + "/" + ModelName), 0);
    if (rendezvousScore(shard, "vm-1") < rendezvousScore(shard, "vm-2"))
        return { "vm-1", "vm-2" };
    return { "vm-2", "vm-1" };
}

/// An engine of the model.
inline Endpoint engineAt(const std::string &name, const Address &address)
{
    Endpoint endpoint;
    endpoint.m_id = EndpointId(name);
    endpoint.m_address = toString(address);
    endpoint.m_dataCentre = DataCentreId(DataCentreName);
    endpoint.m_models = { ModelId(ModelName) };
    return endpoint;
}

/// One data centre, one model and one customer with the key "key"; no endpoints.
inline Intent oneModelIntent()
{
    Intent intent;
    intent.m_revision = 1;
    intent.m_dataCentres = { { DataCentreId(DataCentreName), {}, {} } };
    Model model;
    model.m_id = ModelId(ModelName);
    intent.m_models = { model };
    Customer customer;
    customer.m_id = CustomerId("solver-app");
    customer.m_keyHashes = { hashKey("key") };
    intent.m_customers = { customer };
    return intent;
}

inline void publish(HostedPlatform &platform, const Intent &intent)
{
    IntentHead head;
    head.m_revision = intent.m_revision;
    head.m_snapshot = std::string(IntentSnapshotPrefix) + "1";
    platform->put(head.m_snapshot, encodeIntent(intent));
    platform->put(IntentHeadKey, formatIntentHead(head));
}

/// @p flags: further ones of the daemon.
inline std::unique_ptr<Process> startDaemon(const HostedPlatform &platform, const std::string &name,
                                            const std::string &seed,
                                            const std::vector<std::string> &flags)
{
    ProcessOptions options;
    options.m_program = "stackquayd";
    options.m_arguments = { "--vm",          name,
                            "--data-centre", DataCentreName,
                            "--platform",    toString(platform.address()),
                            "--charts",      STACKQUAY_SOURCE_DIR "/charts",
                            "--threads",     "1",
                            "--log-level",   "error",
                            "--seeds",       seed };
    options.m_arguments.insert(options.m_arguments.end(), flags.begin(), flags.end());
    auto process = Process::start(options);
    EXPECT_TRUE(process) << toString(process.error());
    return std::move(*process);
}

} // namespace stackquay
