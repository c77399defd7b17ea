#include <gtest/gtest.h>

#include "desired/desired.h"

namespace tanagerseam {
namespace {

const std::string kDigest(64, 'a');

std::string
ValidConfig()
{
  return "[organisation stopa]\nrate_per_s = 50\nburst = 100\n"
         "[key web]\norganisation = stopa\nsha256 = " +
         kDigest +
         "\n[endpoint e1]\nkind = model_engine\naddress = 127.0.0.1:7001\n"
         "models = trail-7b\nleaves_at = 2027-03-31T22:00:00.5+02:00\n"
         "[endpoint log]\nkind = plain\naddress = 127.0.0.1:7002\n"
         "[route grooming]\nendpoints = log\nrepeatable = false\n";
}

DesiredState
ParseText(const std::string& aText, Findings& aFindings)
{
  return ParseDesiredTexts({ { "fleet.ini", aText } }, aFindings);
}

TEST(Desired, ReadsAllSectionKinds)
{
  Findings findings;
  const DesiredState state = ParseText(ValidConfig(), findings);
  ASSERT_EQ(findings.Text(), "");
  EXPECT_EQ(state.organisations.at("stopa").burst, 100);
  EXPECT_EQ(state.FindKey(kDigest)->organisation, "stopa");
  EXPECT_EQ(state.FindKey("b"), nullptr);
  EXPECT_TRUE(state.HasModel("trail-7b"));
  EXPECT_FALSE(state.HasModel("trail"));
  EXPECT_EQ(state.endpoints.at("e1").leavesAtMillis, 1806523200500);
  EXPECT_FALSE(state.routes.at("grooming").repeatable);
}

TEST(Desired, ReportsInvalidSections)
{
  struct Case
  {
    const char* text;
    const char* finding;
  };
  const std::vector<Case> cases = {
    { "[key k]\norganisation = none\nsha256 = x\n",
      "f:2: key k.organisation: unknown organisation none\n" },
    { "[key k]\norganisation = none\nsha256 = AB\n",
      "f:3: key k.sha256: must be 64 lower-case hexadecimal digits\n" },
    { "[route r]\nendpoints = e9\n",
      "f:2: route r.endpoints: unknown endpoint e9\n" },
    { "[route r]\n", "f:1: route r.endpoints: the route needs" },
    { "[endpoint e]\nkind = model_engine\naddress = 127.0.0.1:1\n",
      "f:1: endpoint e.models: a model_engine needs at least one model\n" },
    { "[endpoint e]\nkind = plain\naddress = engine.local:80\n",
      "f:3: endpoint e.address: must be IP:port with a numeric IP\n" },
    { "[endpoint e]\nkind = plain\naddress = 127.0.0.1:1\ncapacity = 0\n",
      "f:4: endpoint e.capacity: must be an integer from 1 to 4096\n" },
    { "[endpoint e]\nkind = plain\naddress = 127.0.0.1:1\nmodels = m\n",
      "f:4: endpoint e.models: a plain endpoint has no models\n" },
    { "[endpoint e]\nkind = plain\naddress = 127.0.0.1:1\n"
      "[endpoint f]\nkind = plain\naddress = 127.0.0.1:1\n",
      "f:6: endpoint f.address: endpoint e has the same address\n" },
    { "[endpoint e]\nkind = plain\naddress = 127.0.0.1:1\nleaves_at = soon\n",
      "f:4: endpoint e.leaves_at: must be an RFC 3339 time such as" },
    { "[endpoint e]\nkind = odd\n", "f:2: endpoint e.kind: must be one of" },
    { "[organisation o]\n[organisation o]\n",
      "f:2: organisation o: duplicate section; first defined at f:1\n" },
    { "[organisation o]\nrate = 5\n",
      "f:2: organisation o.rate: unknown key\n" },
    { "[tenant o]\n", "f:1: tenant o: unknown section" },
    { "[organisation a b]\n",
      "f:1: organisation a b: the section needs a name" },
    { "[organisation]\n", "f:1: organisation: the section needs a name" },
  };
  for (const Case& item : cases) {
    SCOPED_TRACE(item.text);
    Findings findings;
    ParseDesiredTexts({ { "f", item.text } }, findings);
    EXPECT_NE(findings.Text().find(item.finding), std::string::npos)
      << findings.Text();
  }
}

TEST(Desired, RejectsDuplicateNamesAndDigestsAcrossFiles)
{
  Findings findings;
  ParseDesiredTexts(
    { { "a.ini", ValidConfig() },
      { "b.ini",
        "[organisation stopa]\n[key other]\norganisation = stopa\nsha256 = " +
          kDigest + "\n" } },
    findings);
  EXPECT_EQ(
    findings.Text(),
    "b.ini:1: organisation stopa: duplicate section; first defined at a.ini:1\n"
    "a.ini:6: key web.sha256: key other has the same digest\n");
}

TEST(Desired, RoundTripsThroughJson)
{
  Findings findings;
  DesiredState state = ParseText(ValidConfig(), findings);
  state.issuedKeys["night"] = { "night", "stopa", std::string(64, 'b') };
  state.withdrawnKeys.insert("web");
  const Json json = Json::parse(ToJson(state).dump());
  auto read = DesiredFromJson(json);
  ASSERT_TRUE(IsOk(read));
  const auto& back = std::get<DesiredState>(read);
  EXPECT_EQ(ToJson(back), json);
  EXPECT_EQ(back.FindKey(std::string(64, 'b'))->name, "night");
  EXPECT_EQ(back.endpoints.at("e1").name, "e1");
}

TEST(Desired, KeepsDigestWithdrawnUnderAnyName)
{
  Findings findings;
  DesiredState state = ParseText(ValidConfig(), findings);
  EXPECT_FALSE(state.Withdraw("none"));
  ASSERT_TRUE(state.Withdraw("web"));
  const ApiKey web = state.keys.at("web");
  const auto read = DesiredFromJson(ToJson(state));
  ASSERT_TRUE(IsOk(read));
  const auto& back = std::get<DesiredState>(read);
  EXPECT_TRUE(back.IsWithdrawn(web));
  EXPECT_TRUE(back.IsWithdrawn({ "other", "stopa", web.digest }));
  EXPECT_TRUE(back.IsWithdrawn({ "web", "stopa", std::string(64, 'c') }));
  EXPECT_FALSE(back.IsWithdrawn({ "other", "stopa", std::string(64, 'c') }));
}

TEST(Desired, RefusesJsonThatToJsonCannotWrite)
{
  Findings findings;
  const Json good = ToJson(ParseText(ValidConfig(), findings));
  const std::vector<Json> patches = {
    R"([{"op":"remove","path":"/routes"}])"_json,
    R"([{"op":"add","path":"/extra","value":1}])"_json,
    R"([{"op":"add","path":"/routes/grooming/extra","value":1}])"_json,
    R"([{"op":"replace","path":"/endpoints/e1/capacity","value":1.5}])"_json,
    R"([{"op":"replace","path":"/endpoints/e1/capacity","value":"8"}])"_json,
    R"([{"op":"replace","path":"/endpoints/e1/kind","value":"odd"}])"_json,
    R"([{"op":"replace","path":"/withdrawnKeys","value":["a","a"]}])"_json,
    R"([{"op":"replace","path":"/keys","value":[]}])"_json,
  };
  for (const Json& patch : patches) {
    SCOPED_TRACE(patch.dump());
    EXPECT_FALSE(IsOk(DesiredFromJson(good.patch(patch))));
  }
  EXPECT_FALSE(IsOk(DesiredFromJson(Json::object())));
  EXPECT_FALSE(IsOk(DesiredFromJson(Json("text"))));
}

TEST(Desired, DescribesAddedRemovedAndChangedItems)
{
  Findings findings;
  const DesiredState before = ParseText(ValidConfig(), findings);
  DesiredState after = before;
  EXPECT_TRUE(DescribeDifference(before, after).empty());
  after.organisations["stopa"].burst = 30;
  after.organisations["mljeko"] = {};
  after.endpoints["e1"].leaving = true;
  after.routes.erase("grooming");
  after.withdrawnKeys.insert("web");
  EXPECT_EQ(DescribeDifference(before, after),
            (std::vector<std::string>{
              "+ [organisation mljeko]",
              "~ [organisation stopa] burst: 100.0 -> 30.0",
              "~ [endpoint e1] leaving: false -> true",
              "- [route grooming]",
              "+ [withdrawn key web]",
            }));
}

} // namespace
} // namespace tanagerseam
