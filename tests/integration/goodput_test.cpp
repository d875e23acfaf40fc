/// What scripts/measure/goodput.sh reads out of decision lines.
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <gtest/gtest.h>

namespace stackquay {
namespace {

class GoodputTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "goodput-XXXXXX").string();
        ASSERT_NE(::mkdtemp(name.data()), nullptr);
        m_directory = name;
    }
    void TearDown() override { std::filesystem::remove_all(m_directory); }

    void placed(const std::string &request, int width, int partMs, int predictedMs)
    {
        m_log << R"(  1.5 vm-1 {"time_ms":1000,"part":"relay","event":"placed","request":")"
              << request << R"(","width":)" << width << R"(,"part_ms":)" << partMs
              << R"(,"predicted_ms":)" << predictedMs << R"(,"wait_ms":100})" << '\n';
    }

    void ended(const std::string &request, const std::string &outcome, int firstMs, int gapMs,
               int ms = 500, const std::string &why = "", int64_t timeMs = 20'000)
    {
        m_log << R"({"time_ms":)" << timeMs
              << R"(,"part":"relay","event":"request ended","request":")" << request
              << R"(","outcome":")" << outcome << R"(","why":")" << why
              << R"(","tokens":120000,"first_ms":)" << firstMs << R"(,"longest_gap_ms":)" << gapMs
              << R"(,"aim_ms":3000,"gap_aim_ms":1000,"ms":)" << ms << "}\n";
    }

    /// All that the script prints, and its status.
    int run(std::string &output)
    {
        m_log.flush();
        const std::string out = (m_directory / "out").string();
        const std::string command = std::string(STACKQUAY_SOURCE_DIR)
                                    + "/scripts/measure/goodput.sh "
                                    + (m_directory / "log").string() + " >" + out + " 2>&1";
        const int status = std::system(command.c_str());
        std::ifstream file(out);
        output.assign(std::istreambuf_iterator<char>(file), {});
        return status;
    }

    void openLog() { m_log.open(m_directory / "log"); }

    std::filesystem::path m_directory;
    std::ofstream m_log;
};

TEST_F(GoodputTest, ReadingIsCountedByItsFate)
{
    openLog();
    placed("in-time", 10, 300, 400);
    ended("in-time", "complete", 500, 200);
    placed("paused", 10, 100, 400);
    ended("paused", "complete", 500, 1'001);
    placed("again", 5, 200, 400);
    placed("again", 5, 400, 400);
    ended("again", "cut", 0, 0);
    placed("left", 1, 3'000, 400);
    ended("left", "abandoned", 0, 0);
    ended("refused", "refused", 0, 0, 40, "too late: others came first");
    std::string output;
    ASSERT_EQ(run(output), 0) << output;
    EXPECT_NE(output.find("goodput: engine_s=10.0 in_target=0.300 late=0.100 wasted=0.600 "
                          "refused_after_ms_p50=40 prediction_error_p90=0.00"),
              std::string::npos)
        << output;
}

// A log of an hour, or of days that lie apart, is told to its end.
TEST_F(GoodputTest, IntervalsAreToldToTheLast)
{
    openLog();
    placed("first", 10, 300, 400);
    ended("first", "complete", 500, 200);
    placed("last", 10, 300, 400);
    ended("last", "complete", 500, 200, 500, "", 3'620'000);
    std::string output;
    ASSERT_EQ(run(output), 0) << output;
    EXPECT_NE(output.find("\n0 "), std::string::npos) << output;
    EXPECT_NE(output.find("\n3600 "), std::string::npos) << output;
}

TEST_F(GoodputTest, LogsWithoutModelRequestsAreSaidSo)
{
    openLog();
    std::string output;
    EXPECT_NE(run(output), 0);
    EXPECT_NE(output.find("no placed model request"), std::string::npos) << output;
}

} // namespace
} // namespace stackquay
