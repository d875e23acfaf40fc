#include <gtest/gtest.h>

#include "control/control.h"

namespace stackquay {
namespace {

/// The store's head and snapshots in memory, with a hook before each commit.
class FakeStore
{
public:
    explicit FakeStore(const Intent &first) { append(first, ChangeId("init"), "init", "init"); }

    void append(Intent intent, const ChangeId &id, const std::string &person,
                const std::string &statement)
    {
        intent.m_revision = m_head.m_revision + 1;
        const std::string key = "snapshot-" + std::to_string(intent.m_revision);
        m_snapshots[key] = encodeIntent(intent);
        m_head.m_revision = intent.m_revision;
        m_head.m_snapshot = key;
        m_head.m_changes.push_back({ id, intent.m_revision, person, statement, key, WallTime() });
    }

    CommitResult commit(const IntentCommit &commit)
    {
        if (m_beforeCommit)
            std::exchange(m_beforeCommit, nullptr)();
        if (const IntentChange *change = findChange(m_head, commit.m_change))
            return { CommitOutcome::Committed, change->m_revision, m_head, {} };
        if (commit.m_expectedRevision != m_head.m_revision)
            return { CommitOutcome::Conflict, m_head.m_revision, m_head, {} };
        if (m_outcome != CommitOutcome::Committed)
            return { m_outcome, 0, {}, { ErrorCode::Unavailable, "store is down" } };
        append(*decodeIntent(commit.m_snapshot), commit.m_change, commit.m_operator,
               commit.m_statement);
        return { CommitOutcome::Committed, m_head.m_revision, m_head, {} };
    }

    Intent newest() const { return *decodeIntent(m_snapshots.at(m_head.m_snapshot)); }

    IntentHead m_head;
    std::map<std::string, std::string> m_snapshots;
    std::function<void()> m_beforeCommit; ///< Runs once.
    CommitOutcome m_outcome = CommitOutcome::Committed; ///< Another one: of every commit.
};

Intent firstIntent()
{
    Intent intent;
    intent.m_regions.push_back({ RegionId("r") });
    intent.m_dataCentres.push_back({ DataCentreId("d"), RegionId("r"), {} });
    Model model;
    model.m_id = ModelId("m");
    model.m_version = "1";
    intent.m_models.push_back(model);
    intent.m_operators.push_back({ "ann", hashKey("ann-key"), OperatorRole::Change });
    intent.m_operators.push_back({ "rob", hashKey("rob-key"), OperatorRole::Read });
    return intent;
}

class Command : public testing::Test
{
protected:
    Command()
    {
        m_environment.m_intent = [this] {
            return std::make_shared<const Intent>(m_store.newest());
        };
        m_environment.m_load = [this]() -> Result<IntentState> {
            return IntentState{ m_store.m_head.m_revision,
                                m_store.m_snapshots.at(m_store.m_head.m_snapshot) };
        };
        m_environment.m_loadHead = [this]() -> Result<IntentHead> { return m_store.m_head; };
        m_environment.m_loadSnapshot = [this](const std::string &key) -> Result<std::string> {
            return m_store.m_snapshots.at(key);
        };
        m_environment.m_commit = [this](const IntentCommit &commit) {
            return m_store.commit(commit);
        };
        m_environment.m_committed = [this](const IntentState &state) {
            m_applied.push_back(state.m_revision);
        };
        m_environment.m_runtime = [this] { return m_runtime; };
        m_environment.m_now = [this] { return m_now; };
        m_environment.m_sleep = [this](Duration duration) {
            m_now += duration;
            if (m_whileAsleep)
                m_whileAsleep();
            return true;
        };
    }

    CommandAnswer run(const std::string &statement, const std::string &key = "ann-key")
    {
        m_request.m_statement = statement;
        const Intent intent = m_store.newest();
        return runCommand(m_environment, m_request, *findOperator(&intent, key));
    }

    /// Another operator's change, made just before the next commit.
    void race(const std::string &statement)
    {
        m_store.m_beforeCommit = [this, statement] {
            const Result<Statement> parsed = parseStatement(statement);
            m_store.append(
                *applyChanges(m_store.newest(), std::get<ChangeStatement>(parsed->m_body)),
                ChangeId("other"), "bea", statement);
        };
    }

    FakeStore m_store{ firstIntent() };
    CommandEnvironment m_environment;
    CommandRequest m_request;
    RuntimeState m_runtime;
    std::vector<uint64_t> m_applied;
    std::function<void()> m_whileAsleep;
    TimePoint m_now{};
};

TEST_F(Command, changeTakesEffectAsWrittenAndIsRecorded)
{
    const CommandAnswer answer = run("promote model m version 2");
    EXPECT_EQ(answer.m_outcome, CommandOutcome::Committed) << answer.m_text;
    EXPECT_EQ(answer.m_revision, 2u);
    EXPECT_EQ(m_store.newest().m_models[0].m_version, "2");
    EXPECT_EQ(m_store.m_head.m_changes.back().m_operator, "ann");
    EXPECT_EQ(m_store.m_head.m_changes.back().m_statement, "promote model m version 2");
    EXPECT_EQ(m_applied, std::vector<uint64_t>{ 2 });
    EXPECT_EQ(run("promote model m version 2").m_outcome, CommandOutcome::Unchanged);
    EXPECT_EQ(m_store.m_head.m_revision, 2u);
}

TEST_F(Command, loserOfARaceIsCheckedAgainAndKeepsTheOthersChange)
{
    race("set model m max_span = 5");
    const CommandAnswer answer = run("promote model m version 2");
    EXPECT_EQ(answer.m_outcome, CommandOutcome::Committed) << answer.m_text;
    EXPECT_EQ(answer.m_revision, 3u);
    EXPECT_EQ(m_store.newest().m_models[0].m_maxSpan, 5u);
    EXPECT_EQ(m_store.newest().m_models[0].m_version, "2");
}

TEST_F(Command, loserOfARaceIsRefusedWhenItsConditionNoLongerHolds)
{
    race("promote model m version 9");
    const CommandAnswer answer = run("promote model m version 2 if version = 1");
    EXPECT_EQ(answer.m_outcome, CommandOutcome::Conflict);
    EXPECT_EQ(answer.m_text, "In \"promote model m version 2 if version = 1\": condition on "
                             "\"version\" does not hold: found \"9\".\n");
    race("set model m max_span = 5");
    EXPECT_EQ(run("promote model m version 2 if revision = 2").m_outcome, CommandOutcome::Conflict);
    EXPECT_EQ(m_store.newest().m_models[0].m_version, "9");
}

TEST_F(Command, sameChangeSentAgainTakesEffectOnce)
{
    m_request.m_change = ChangeId("c1");
    EXPECT_EQ(run("add region s").m_revision, 2u);
    m_request.m_age = Seconds(2);
    const CommandAnswer again = run("add region s");
    EXPECT_EQ(again.m_outcome, CommandOutcome::Committed) << again.m_text;
    EXPECT_EQ(again.m_revision, 2u);
    EXPECT_EQ(m_store.m_head.m_revision, 2u);
}

TEST_F(Command, saysUnknownRatherThanRefused)
{
    m_request.m_change = ChangeId("c1");
    m_request.m_age = IntentChangeRetention + Seconds(1);
    EXPECT_EQ(run("add region r").m_outcome, CommandOutcome::Unknown);
    m_request.m_age = Seconds(1);
    m_environment.m_loadHead = []() -> Result<IntentHead> {
        return makeError(ErrorCode::Unavailable, "down");
    };
    EXPECT_EQ(run("add region r").m_outcome, CommandOutcome::Unknown);
    m_request.m_age = {};
    m_store.m_outcome = CommitOutcome::Unknown;
    EXPECT_EQ(run("add region s").m_outcome, CommandOutcome::Unknown);
    m_store.m_outcome = CommitOutcome::NotWritten;
    EXPECT_EQ(run("add region s").m_outcome, CommandOutcome::Unavailable);
}

TEST_F(Command, waitNamesTheNodesThatAreBehind)
{
    m_request.m_wait = Millis(500);
    m_runtime.m_vms = { { VmId("a"), DataCentreId("d"), "live", 2, 0, "", Millis(0) },
                        { VmId("b"), DataCentreId("d"), "live", 1, 0, "", Millis(0) },
                        { VmId("c"), DataCentreId("d"), "dead", 0, 0, "", Millis(0) } };
    const CommandAnswer late = run("promote model m version 2");
    EXPECT_EQ(late.m_outcome, CommandOutcome::NotInForce);
    EXPECT_EQ(late.m_behind, std::vector<std::string>{ "b" });
    m_whileAsleep = [this] { m_runtime.m_vms[0].m_revision = m_runtime.m_vms[1].m_revision = 3; };
    EXPECT_EQ(run("promote model m version 3").m_outcome, CommandOutcome::Committed);
}

TEST_F(Command, rolesBindChangesButNotDryRuns)
{
    EXPECT_EQ(run("promote model m version 2", "rob-key").m_outcome, CommandOutcome::NotPermitted);
    const CommandAnswer checked = run("check promote model m version 2", "rob-key");
    EXPECT_EQ(checked.m_outcome, CommandOutcome::Checked);
    EXPECT_EQ(checked.m_text, "~ model m, version: \"1\" -> \"2\"\n");
    EXPECT_EQ(m_store.m_head.m_revision, 1u);
    const Intent intent = m_store.newest();
    EXPECT_FALSE(findOperator(&intent, "wrong"));
    EXPECT_FALSE(findOperator(&intent, ""));
    EXPECT_FALSE(findOperator(nullptr, "ann-key"));
}

TEST_F(Command, historyAndUndo)
{
    run("promote model m version 2");
    run("set model m max_span = 4");
    EXPECT_EQ(run("history 2").m_result["rows"].size(), 2u);
    EXPECT_EQ(run("history").m_result["rows"][0]["statement"], "set model m max_span = 4");
    const CommandAnswer undone = run("undo 2");
    EXPECT_EQ(undone.m_outcome, CommandOutcome::Committed) << undone.m_text;
    EXPECT_EQ(m_store.newest().m_models[0].m_version, "1");
    EXPECT_EQ(m_store.newest().m_models[0].m_maxSpan, 4u);
    EXPECT_EQ(run("undo 1").m_outcome, CommandOutcome::Refused);
    EXPECT_EQ(run("undo 0").m_outcome, CommandOutcome::Refused);
}

TEST_F(Command, showsWhatIsDeclaredAndWhatRuns)
{
    m_runtime.m_vms = { { VmId("a"), DataCentreId("d"), "live", 1, 0, "", Millis(0) } };
    m_runtime.m_missing = { "b" };
    EXPECT_EQ(run("show models name, version").m_text, "name  version\nm     1\n");
    const CommandAnswer vms = run("show vms name where revision = 1");
    EXPECT_EQ(vms.m_text, "name\na\nmissing: b\n");
    EXPECT_EQ(vms.m_missing, std::vector<std::string>{ "b" });
    EXPECT_EQ(run("show cats").m_outcome, CommandOutcome::Refused);
    EXPECT_EQ(run("show models where version > none").m_outcome, CommandOutcome::Refused);
}

TEST(CommandJson, survivesARoundTrip)
{
    const CommandRequest request{ "show \"x\"", ChangeId("c"), Millis(7), Millis(9) };
    const Result<CommandRequest> decoded = decodeCommandRequest(encodeCommandRequest(request));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->m_statement, request.m_statement);
    EXPECT_EQ(decoded->m_change, request.m_change);
    EXPECT_EQ(decoded->m_age, request.m_age);
    EXPECT_EQ(decoded->m_wait, request.m_wait);
    CommandAnswer answer;
    answer.m_outcome = CommandOutcome::NotInForce;
    answer.m_revision = 5;
    answer.m_text = "t\n";
    answer.m_result = { { "a", 1 } };
    answer.m_behind = { "b" };
    answer.m_missing = { "c" };
    const Result<CommandAnswer> again = decodeCommandAnswer(encodeCommandAnswer(answer));
    ASSERT_TRUE(again);
    EXPECT_EQ(encodeCommandAnswer(*again), encodeCommandAnswer(answer));
    EXPECT_FALSE(decodeCommandAnswer("{\"outcome\":\"fine\"}"));
    EXPECT_FALSE(decodeCommandRequest("[]"));
}

} // namespace
} // namespace stackquay
