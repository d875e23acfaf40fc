/// What scripts/journal.sh reads out of the journal of the users' bench.
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

#include "tests/support/process.h"

namespace stackquay {
namespace {

/// SHA-256 of "3".
constexpr const char *SumOf3 = "4e07408562bedb8b60ce05c1decfe3ad16b72230967de01f640b7e4729b49fce";

/// A repository of its own with sources and a journal.
class JournalTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "journal-XXXXXX").string();
        ASSERT_NE(::mkdtemp(name.data()), nullptr);
        m_directory = name;
        std::filesystem::create_directories(m_directory / "journal");
        std::filesystem::create_directories(m_directory / "tests");
        ASSERT_EQ(run("git", { "-C", m_directory.string(), "init", "-q" }), 0);
    }
    void TearDown() override { std::filesystem::remove_all(m_directory); }

    /// Commits a file with some content; the commit's id.
    std::string commit(const std::string &path, const std::string &content)
    {
        std::ofstream(m_directory / path) << content;
        EXPECT_EQ(run("git", { "-C", m_directory.string(), "add", path }), 0);
        EXPECT_EQ(run("git", { "-C", m_directory.string(), "-c", "user.name=test", "-c",
                               "user.email=test@localhost", "commit", "-q", "-m", path }),
                  0);
        EXPECT_EQ(run("git", { "-C", m_directory.string(), "rev-parse", "HEAD" }), 0);
        return m_lines.empty() ? std::string() : m_lines.front();
    }

    /// Writes an entry as the bench lays it out. @p days: the rules broken on
    /// each day.
    void entry(const std::string &id, const std::string &verb, const std::string &site,
               const std::string &commit, const std::vector<std::string> &days, bool dirty = false,
               const std::string &flag = "--jobs")
    {
        std::ofstream file(m_directory / "journal" / (id + ".json"));
        const bool ended = !days.empty();
        file << R"({"v":1,"id":"x","at":["2026-01-01T00:00:00Z",""],)" << '\n'
             << R"("cmd":")" << verb << R"(","argv":[".../)" << site << R"(.toml",")" << flag
             << R"(","--why","see \"--quick\" of other.toml"],)" << '\n'
             << R"("why":"see \"--quick\" of other.toml",)" << '\n'
             << R"("head":")" << commit << R"(","dirty":)" << (dirty ? "true" : "false") << ",\n"
             << R"("policy":[{"path":"2 files"}],"edited_meanwhile":false,)" << '\n'
             << R"("site":)" << (ended ? '"' + site + '"' : "null") << R"(,"panel":null,)" << '\n'
             << R"("ok":)" << (ended ? "true" : "false") << ",\n"
             << R"("score":)" << (verb == "score" ? "0.75" : "null")
             << R"(,"figures":{"gate":1.0},)" << '\n'
             << R"("days":[)";
        for (std::size_t i = 0; i < days.size(); ++i)
            file << (i == 0 ? "" : ",\n") << R"({"G":0.5,"score":0.1,"rules":{)" << days[i]
                 << R"(},"fault":null,"gate":true})";
        file << "],\n\"days_left_out\":" << (ended ? 1 : 0) << ",\n" << m_tree << "}\n";
    }

    /// Runs the script on the journal; its status. The lines are in m_lines.
    int list(std::vector<std::string> arguments = {})
    {
        arguments.insert(arguments.begin(), { "--journal", (m_directory / "journal").string() });
        return run(STACKQUAY_SOURCE_DIR "/scripts/journal.sh", arguments);
    }

    int run(const std::string &program, const std::vector<std::string> &arguments)
    {
        ProcessOptions options;
        options.m_program = program.find('/') == std::string::npos ? "/usr/bin/env" : program;
        options.m_arguments = arguments;
        if (options.m_program != program)
            options.m_arguments.insert(options.m_arguments.begin(), program);
        options.m_errorFile = "/dev/null";
        const auto process = Process::start(options);
        const auto exit = process ? (*process)->awaitExit() : tl::unexpected(process.error());
        m_lines.clear();
        if (process) {
            // No line begins so: waits for the end of the output.
            EXPECT_FALSE((*process)->awaitLine("\n"));
            m_lines = (*process)->lines();
        }
        return exit ? exit->m_status : -1;
    }

    std::filesystem::path m_directory;
    std::string m_tree; ///< Of entries: the files that are not those of their commit.
    std::vector<std::string> m_lines;
};

TEST_F(JournalTest, RunsThatDidNotFinishAreNoHunts)
{
    const auto first = commit("a.cpp", "1");
    entry("0", "hunt", "north", first, {});
    entry("1", "hunt", "north", first, { "", R"("LOST":1,"DRAIN":2)", "" });
    entry("2", "hunt", "north", first, {});
    entry("3", "hunt", "south", first, {});
    entry("4", "score", "south", first, { "" }, false, "--quick");
    EXPECT_EQ(list(), 0);
    const auto shown = first.substr(0, 7);
    EXPECT_EQ(
        m_lines,
        (std::vector<std::string>{
            "north hunt 1: 3 days (1 given up), 1 with a rule broken "
            "(LOST,DRAIN), on "
                + shown + ", sources as at HEAD; 1 later not finished, the last 2 on " + shown,
            "north score: none finished",
            "south hunt: none finished; 1 not, the last 3 on " + shown,
            "south score: none finished",
        }));
    EXPECT_EQ(list({ "north" }), 0);
    EXPECT_EQ(m_lines.size(), 2u);
    EXPECT_EQ(list({ "north", "south" }), 1);
}

TEST_F(JournalTest, SourcesOfAnEntryAreComparedWithHead)
{
    const auto sources = [this] {
        EXPECT_EQ(list({ "north" }), 0);
        const auto &line = m_lines.at(1);
        return line.substr(line.find("sources"));
    };
    const auto first = commit("a.cpp", "1");
    entry("1", "hunt", "north", first, { "" });
    entry("2", "score", "north", first, { "", "" });
    EXPECT_EQ(list(), 0);
    EXPECT_EQ(m_lines.at(1), "north score 2: 2 days (1 given up), 0 with a rule "
                             "broken, 0.75, gate passed, on "
                                 + first.substr(0, 7) + ", sources as at HEAD");
    commit("README.md", "1");
    commit("tests/a_test.cpp", "1");
    EXPECT_EQ(sources(), "sources as at HEAD");
    commit("CMakeLists.txt", "1");
    EXPECT_EQ(sources(), "sources changed since");
    const auto second = commit("a.cpp", "2");
    m_tree = R"("tree":{"base":")" + second
             + R"(","files":[{"path":"tests/b_test.cpp","sha256":"0"},
{"path":"a.cpp","sha256":")"
             + SumOf3 + R"("}],"gone":["old.h"]})";
    entry("3", "score", "north", second, { "" }, true);
    EXPECT_EQ(sources(), "sources changed since");
    commit("a.cpp", "3");
    EXPECT_EQ(sources(), "sources as at HEAD");
    commit("old.h", "1");
    EXPECT_EQ(sources(), "sources changed since");
    m_tree.clear();
    entry("3", "score", "north", second, { "" }, true);
    EXPECT_EQ(sources(), "sources unknown");
    entry("4", "score", "north", std::string(40, 'a'), { "" });
    EXPECT_EQ(sources(), "sources unknown");
}

TEST_F(JournalTest, BadUsageAndNoJournalAreTold)
{
    EXPECT_EQ(list(), 1);
    EXPECT_EQ(list({ "--days" }), 2);
    EXPECT_EQ(list({ "--journal" }), 2);
    EXPECT_EQ(list({ "--help" }), 0);
    EXPECT_FALSE(m_lines.empty());
}

} // namespace
} // namespace stackquay
