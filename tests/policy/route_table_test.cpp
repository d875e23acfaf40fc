#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

RouteTable tableOf(std::vector<std::pair<std::string, std::string>> routes)
{
    RouteTable table;
    for (auto &[host, prefix] : routes) {
        Route route;
        route.m_name = host + prefix;
        route.m_host = host;
        route.m_pathPrefix = prefix;
        route.m_services = { { ServiceId("s"), 1 } };
        table.m_routes.push_back(route);
    }
    indexRoutes(table);
    return table;
}

TEST(RouteTableTest, LongestPrefixOfTheHostWins)
{
    const RouteTable table =
        tableOf({ { "a", "/" }, { "a", "/x/y/" }, { "a", "/x/" }, { "b", "/x/y/z/" } });
    EXPECT_EQ(findRoute(table, "a", "/x/y/z/1")->m_name, "a/x/y/");
    EXPECT_EQ(findRoute(table, "a:80", "/x/1")->m_name, "a/x/");
    EXPECT_EQ(findRoute(table, "a", "/q")->m_name, "a/");
    EXPECT_EQ(findRoute(table, "b", "/x/y/"), nullptr);
    EXPECT_EQ(findRoute(table, "c", "/x/"), nullptr);
}

TEST(RouteTableTest, ServicesAreSelectedByWeight)
{
    Route route;
    route.m_services = { { ServiceId("a"), 90 }, { ServiceId("b"), 0 }, { ServiceId("c"), 10 } };
    EXPECT_EQ(selectService(route, 0).str(), "a");
    EXPECT_EQ(selectService(route, 0.899).str(), "a");
    EXPECT_EQ(selectService(route, 0.901).str(), "c");
    EXPECT_EQ(selectService(route, 0.999999).str(), "c");
}

TEST(RouteTableTest, OnlyResumableStreamsAndSafeRequestsAreRepeatable)
{
    Route route;
    route.m_kind = RouteKind::Safe;
    EXPECT_TRUE(route.repeatable());
    route.m_kind = RouteKind::Unsafe;
    route.m_resumable = true;
    EXPECT_FALSE(route.repeatable());
    route.m_kind = RouteKind::Stream;
    EXPECT_TRUE(route.repeatable());
    route.m_resumable = false;
    EXPECT_FALSE(route.repeatable());
}

} // namespace
} // namespace stackquay
