/// Guards against attempts that wait for an endpoint which has gone, and against ending those whose
/// endpoint only left the directory.
#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

EndpointRecord record(const char *id, uint64_t startedMs = 0)
{
    EndpointRecord endpoint;
    endpoint.m_id = EndpointId(id);
    endpoint.m_startedMs = startedMs;
    return endpoint;
}

EndpointDirectory directoryOf(std::initializer_list<EndpointRecord> endpoints)
{
    EndpointDirectory directory;
    for (const EndpointRecord &endpoint : endpoints)
        directory.m_endpoints[endpoint.m_id] = endpoint;
    return directory;
}

/// A repeatable attempt, silent for two seconds at an endpoint that left one probe unanswered.
AbsenceEvidence goneEvidence()
{
    AbsenceEvidence evidence;
    evidence.m_listing = ProcessListing::Absent;
    evidence.m_repeatable = true;
    evidence.m_silence = Seconds(2);
    evidence.m_failedProbes = 1;
    evidence.m_failingFor = Seconds(2);
    evidence.m_sinceProbe = Millis(50);
    return evidence;
}

AbsenceDecision decide(const AbsenceEvidence &evidence)
{
    return decideAbsence({}, evidence);
}

TEST(AbsentEndpointTest, ListingFollowsTheDirectory)
{
    const EndpointRecord engine = record("engine", 100);
    EXPECT_EQ(listingOf(directoryOf({ engine }), engine, false), ProcessListing::Listed);
    EXPECT_EQ(listingOf(directoryOf({}), engine, false), ProcessListing::Absent);
    EXPECT_EQ(listingOf(directoryOf({}), engine, true), ProcessListing::Leaving);
    EXPECT_EQ(listingOf(directoryOf({ record("engine", 200) }), engine, false),
              ProcessListing::Replaced);
}

// A listing after an outage, a restored store and an incomplete peer lack entries of endpoints that
// live: these answer their probe.
TEST(AbsentEndpointTest, UnconfirmedEndpointThatAnswersIsAlive)
{
    EndpointDirectory directory = directoryOf({ record("engine") });
    directory.m_unconfirmed.insert(EndpointId("engine"));
    AbsenceEvidence evidence = goneEvidence();
    evidence.m_listing = listingOf(directory, record("engine"), false);
    EXPECT_EQ(evidence.m_listing, ProcessListing::Unconfirmed);
    EXPECT_EQ(decide(evidence), AbsenceDecision::Abandon);
    evidence.m_failedProbes = 0;
    EXPECT_EQ(decide(evidence), AbsenceDecision::Wait);
}

TEST(AbsentEndpointTest, EndpointWithAnUnreadableEntryIsListed)
{
    EndpointDirectory directory;
    directory.m_unreadable.insert(EndpointId("engine"));
    EXPECT_EQ(listingOf(directory, record("engine"), false), ProcessListing::Listed);
}

TEST(AbsentEndpointTest, DepartedEndpointsAreAbsentOrReplaced)
{
    const EndpointDirectory before =
        directoryOf({ record("stays", 1), record("restarts", 1), record("leaves", 1),
                      record("spoilt", 1), record("unconfirmed", 1) });
    EndpointDirectory now =
        directoryOf({ record("stays", 1), record("restarts", 2), record("unconfirmed", 1) });
    now.m_unreadable.insert(EndpointId("spoilt"));
    now.m_unconfirmed.insert(EndpointId("unconfirmed"));
    std::vector<std::string> departed;
    for (const EndpointRecord &endpoint : departedSince(before, now))
        departed.push_back(endpoint.m_id.str());
    std::sort(departed.begin(), departed.end());
    EXPECT_EQ(departed, (std::vector<std::string>{ "leaves", "restarts", "unconfirmed" }));
}

TEST(AbsentEndpointTest, AbsentEndpointThatLeavesAProbeUnansweredIsGone)
{
    EXPECT_EQ(decide(goneEvidence()), AbsenceDecision::Abandon);
}

TEST(AbsentEndpointTest, AbsenceAloneEndsNothing)
{
    AbsenceEvidence evidence = goneEvidence();
    evidence.m_failedProbes = 0;
    evidence.m_sinceProbe = Duration::max();
    EXPECT_EQ(decide(evidence), AbsenceDecision::Probe);
    evidence.m_sinceProbe = Millis(100); // The endpoint answered.
    EXPECT_EQ(decide(evidence), AbsenceDecision::Wait);
    evidence.m_sinceProbe = Seconds(1);
    EXPECT_EQ(decide(evidence), AbsenceDecision::Probe);
}

TEST(AbsentEndpointTest, StreamThatReceivesEventsIsAliveWhateverElseIsKnown)
{
    AbsenceEvidence evidence = goneEvidence();
    evidence.m_silence = Millis(100);
    evidence.m_failedProbes = 10;
    for (const ProcessListing listing :
         { ProcessListing::Listed, ProcessListing::Leaving, ProcessListing::Absent,
           ProcessListing::Unconfirmed, ProcessListing::Replaced }) {
        evidence.m_listing = listing;
        EXPECT_EQ(decide(evidence), AbsenceDecision::Wait);
    }
}

TEST(AbsentEndpointTest, ReplacedProcessNeedsNoProbe)
{
    AbsenceEvidence evidence = goneEvidence();
    evidence.m_listing = ProcessListing::Replaced;
    evidence.m_failedProbes = 0;
    evidence.m_sinceProbe = Duration::max();
    EXPECT_EQ(decide(evidence), AbsenceDecision::Abandon);
}

TEST(AbsentEndpointTest, CostlyMistakesNeedASecondProbe)
{
    AbsenceEvidence once = goneEvidence();
    once.m_repeatable = false;
    AbsenceEvidence leaving = goneEvidence();
    leaving.m_listing = ProcessListing::Leaving;
    AbsenceEvidence listed = goneEvidence();
    listed.m_listing = ProcessListing::Listed;
    listed.m_holdsMemory = true;
    for (AbsenceEvidence evidence : { once, leaving, listed }) {
        EXPECT_EQ(decide(evidence), AbsenceDecision::Probe);
        evidence.m_failedProbes = 2;
        EXPECT_EQ(decide(evidence), AbsenceDecision::Abandon);
    }
}

TEST(AbsentEndpointTest, ListedEndpointThatPausesIsNotAbandoned)
{
    AbsenceEvidence evidence = goneEvidence();
    evidence.m_listing = ProcessListing::Listed;
    evidence.m_holdsMemory = true;
    evidence.m_failedProbes = 5;
    evidence.m_failingFor = Millis(1'400);
    EXPECT_EQ(decide(evidence), AbsenceDecision::Probe);
    evidence.m_failingFor = Millis(2'000);
    EXPECT_EQ(decide(evidence), AbsenceDecision::Abandon);
}

TEST(AbsentEndpointTest, ListedEndpointIsCheckedOnlyForMemoryAndLater)
{
    AbsenceEvidence evidence = goneEvidence();
    evidence.m_listing = ProcessListing::Listed;
    evidence.m_failedProbes = 5;
    EXPECT_EQ(decide(evidence), AbsenceDecision::Wait);
    evidence.m_holdsMemory = true;
    EXPECT_EQ(decide(evidence), AbsenceDecision::Abandon);
    evidence.m_silence = Millis(500);
    EXPECT_EQ(decide(evidence), AbsenceDecision::Wait);
}

} // namespace
} // namespace stackquay
