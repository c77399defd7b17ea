#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "cli/command_line.h"
#include "cli/config_commands.h"
#include "cli/config_log.h"
#include "cli/daemons.h"
#include "state/testing/fake_log.h"

namespace tanagerseam {
namespace {

using Words = std::vector<std::string>;

constexpr Millis kTimeout(1000);

// Runs commands of several operators on one fake log; daemons are a table from
// URL to response body.
class OperatorCommands : public testing::Test
{
protected:
  void SetUp() override { this->WriteFile(20); }

  std::string Path() const { return testing::TempDir() + "/" + this->fileName; }

  void WriteFile(int aBurst)
  {
    const auto* info = testing::UnitTest::GetInstance()->current_test_info();
    this->fileName = std::string("tanagerseam_") + info->name() + ".ini";
    std::ofstream file(this->Path());
    file << "[organisation stopa]\nburst = " << aBurst << "\n";
  }

  ExitCode RunWith(CommandOptions aOptions, const Words& aWords)
  {
    this->out.str("");
    this->err.str("");
    aOptions.timeout = kTimeout;
    const auto fetch = [this](const HttpCall& aCall) {
      this->fetchedCalls.push_back(aCall.method + " " + aCall.url);
      return this->FetchFromTable(aCall);
    };
    const CommandContext context{
      aOptions, this->log, fetch, this->out, this->err
    };
    return RunCommand(context, aWords);
  }

  ExitCode RunAs(const std::string& aOperator, const Words& aWords)
  {
    CommandOptions options;
    options.operatorName = aOperator;
    return this->RunWith(options, aWords);
  }

  ExitCode IssueAs(const std::string& aOperator, const std::string& aName)
  {
    CommandOptions options;
    options.operatorName = aOperator;
    options.name = aName;
    options.json = true;
    return this->RunWith(options, { "key", "issue", "stopa" });
  }

  HttpOutcome FetchFromTable(const HttpCall& aCall)
  {
    auto found = this->daemons.find(aCall.url);
    if (found == this->daemons.end()) {
      return TransportFailure{ TransportError::kNotConnected,
                               false,
                               "refused" };
    }
    return HttpAnswer{ 200, {}, found->second };
  }

  void AppendMemberJoined(const std::string& aHost)
  {
    const Record record{ { aHost, "i", 1 },
                         MemberJoined{ "z", "", "", aHost + ":1" } };
    this->log.Append({ EncodeRecord(record) });
  }

  DesiredState ReadDesiredInForce(int64_t aVersion)
  {
    ConfigLog config(this->log, kTimeout);
    EXPECT_TRUE(IsOk(config.Refresh()));
    EXPECT_EQ(config.ConfigInForce().version, aVersion);
    return std::get<DesiredState>(config.DesiredInForce());
  }

  testing_support::FakeLog log;
  std::map<std::string, std::string> daemons;
  std::vector<std::string> fetchedCalls;
  std::string fileName;
  std::ostringstream out;
  std::ostringstream err;
};

TEST_F(OperatorCommands, ApplyPublishesFilesAndDiffShowsChanges)
{
  ASSERT_EQ(RunAs("ann", { "apply", Path() }), ExitCode::kOk) << err.str();
  EXPECT_EQ(out.str(), "+ [organisation stopa]\nversion 1 is in force\n");
  WriteFile(30);
  EXPECT_EQ(RunAs("ann", { "diff", Path() }), ExitCode::kOk);
  EXPECT_EQ(out.str(), "~ [organisation stopa] burst: 20.0 -> 30.0\n");
  EXPECT_EQ(ReadDesiredInForce(1).organisations.at("stopa").burst, 20);
  {
    SCOPED_TRACE("applying unchanged files appends nothing");
    WriteFile(20);
    EXPECT_EQ(RunAs("ann", { "apply", Path() }), ExitCode::kOk);
    EXPECT_EQ(log.appendCount, 1);
  }
}

TEST_F(OperatorCommands, FilesWithFindingsAreNotApplied)
{
  std::ofstream(Path()) << "[organisation stopa]\nburst = x\nodd = 1\n";
  EXPECT_EQ(RunAs("ann", { "apply", Path() }), ExitCode::kFindings);
  EXPECT_EQ(log.appendCount, 0);
  CommandOptions options;
  options.json = true;
  EXPECT_EQ(RunWith(options, { "check", Path() }), ExitCode::kFindings);
  const Json json = Json::parse(out.str());
  ASSERT_EQ(json["findings"].size(), 2u);
  EXPECT_EQ(json["findings"][1]["line"], 3);
}

TEST_F(OperatorCommands, ConcurrentApplyReportsConflict)
{
  ASSERT_EQ(RunAs("ann", { "apply", Path() }), ExitCode::kOk);
  DesiredState other = ReadDesiredInForce(1);
  other.organisations["stopa"].burst = 99;
  // Ben reads version 1, but Cid's change of version 1 is appended before his.
  log.onNextAppend = [&] {
    ConfigLog config(log, kTimeout);
    ASSERT_TRUE(IsOk(config.Refresh()));
    EXPECT_EQ(std::get<Verdict>(config.Publish("cid", 1, other)),
              Verdict::kAccepted);
  };
  WriteFile(30);
  EXPECT_EQ(RunAs("ben", { "apply", Path() }), ExitCode::kConflict);
  EXPECT_EQ(err.str(),
            "tanagerseam: version 2 by cid is in force, not version 1\n"
            "~ [organisation stopa] burst: 20.0 -> 99.0\n");
  EXPECT_EQ(ReadDesiredInForce(2).organisations.at("stopa").burst, 99);

  SCOPED_TRACE(
    "an explicit old base gives the same conflict and appends nothing");
  const int appends = log.appendCount;
  CommandOptions options;
  options.base = 1;
  options.json = true;
  EXPECT_EQ(RunWith(options, { "apply", Path() }), ExitCode::kConflict);
  const Json json = Json::parse(out.str());
  EXPECT_EQ(json["author"], "cid");
  EXPECT_EQ(json["difference"].size(), 1u);
  EXPECT_EQ(log.appendCount, appends);
}

TEST_F(OperatorCommands, RetriedAppendAppliesOnce)
{
  log.lostResponses = 2;
  EXPECT_EQ(RunAs("ann", { "apply", Path() }), ExitCode::kOk) << err.str();
  EXPECT_EQ(log.End(), 3);
  ReadDesiredInForce(1);
}

TEST_F(OperatorCommands, ReportsUnavailableLog)
{
  log.unavailable = true;
  EXPECT_EQ(RunAs("ann", { "apply", Path() }), ExitCode::kLogUnavailable);
  EXPECT_NE(err.str().find("down"), std::string::npos);
}

TEST_F(OperatorCommands, IssuedAndWithdrawnKeysSurviveApply)
{
  ASSERT_EQ(RunAs("ann", { "apply", Path() }), ExitCode::kOk);
  // Another operator publishes first; the key command retries on that version.
  log.onNextAppend = [&] {
    ConfigLog config(log, kTimeout);
    ASSERT_TRUE(IsOk(config.Refresh()));
    DesiredState other = std::get<DesiredState>(config.DesiredInForce());
    other.organisations["mljeko"] = { "mljeko" };
    config.Publish("cid", 1, other);
  };
  ASSERT_EQ(IssueAs("ann", "night"), ExitCode::kOk) << out.str();
  const std::string key = Json::parse(out.str())["key"];
  EXPECT_EQ(ReadDesiredInForce(3).FindKey(Sha256Hex(key))->organisation,
            "stopa");
  EXPECT_EQ(ReadDesiredInForce(3).organisations.count("mljeko"), 1u);
  for (const std::string& text : log.texts) {
    EXPECT_EQ(text.find(key), std::string::npos);
  }
  EXPECT_EQ(IssueAs("ann", "night"), ExitCode::kFindings);

  WriteFile(30);
  ASSERT_EQ(RunAs("ann", { "apply", Path() }), ExitCode::kOk) << err.str();
  EXPECT_EQ(ReadDesiredInForce(4).issuedKeys.count("night"), 1u);

  ASSERT_EQ(RunAs("ann", { "key", "withdraw", "night" }), ExitCode::kOk);
  EXPECT_EQ(ReadDesiredInForce(5).withdrawnKeys.count("night"), 1u);
  EXPECT_EQ(RunAs("ann", { "key", "withdraw", "night" }), ExitCode::kOk);
  EXPECT_EQ(IssueAs("ann", "night"), ExitCode::kFindings);
  WriteFile(40);
  ASSERT_EQ(RunAs("ann", { "apply", Path() }), ExitCode::kOk);
  EXPECT_EQ(ReadDesiredInForce(6).withdrawnKeys.count("night"), 1u);
  EXPECT_EQ(RunAs("ann", { "key", "withdraw", "none" }), ExitCode::kNotFound);
}

TEST_F(OperatorCommands, RejectsRemovingOrganisationOfIssuedKey)
{
  DesiredState inForce;
  inForce.issuedKeys["night"] = { "night", "stopa", "d" };
  Findings findings;
  KeepIssuedKeys({}, inForce, findings);
  EXPECT_EQ(findings.Items().size(), 1u);
  inForce.withdrawnKeys.insert("night");
  Findings none;
  KeepIssuedKeys({}, inForce, none);
  EXPECT_EQ(none.Text(), "");
}

TEST_F(OperatorCommands, RejectsWithdrawnDigestUnderNewName)
{
  DesiredState inForce;
  inForce.keys["web"] = { "web", "stopa", "d" };
  ASSERT_TRUE(inForce.Withdraw("web"));
  DesiredState files;
  files.keys["web"] = { "web", "stopa", "d" };
  Findings none;
  EXPECT_TRUE(
    KeepIssuedKeys(files, inForce, none).IsWithdrawn(files.keys.at("web")));
  EXPECT_EQ(none.Text(), "");
  files.keys["web2"] = { "web2", "stopa", "d" };
  Findings findings;
  KeepIssuedKeys(files, inForce, findings);
  EXPECT_EQ(findings.Items().size(), 1u);
}

TEST_F(OperatorCommands, WaitReportsLaggingDaemons)
{
  AppendMemberJoined("h1");
  AppendMemberJoined("h2");
  daemons["http://h1:1/status"] = R"({"config_version": 1})";
  daemons["http://h2:1/status"] = R"({"config_version": 0})";
  CommandOptions options;
  options.wait = true;
  EXPECT_EQ(RunWith(options, { "apply", Path() }), ExitCode::kLagging);
  EXPECT_NE(out.str().find("lagging: h2: has version 0"), std::string::npos);
  EXPECT_EQ(out.str().find("lagging: h1"), std::string::npos);
  daemons["http://h2:1/status"] = R"({"config_version": 1})";
  EXPECT_EQ(RunWith(options, { "apply", Path() }), ExitCode::kOk);
}

TEST_F(OperatorCommands, TraceMergesLogsOfSeveralHosts)
{
  const std::string one = testing::TempDir() + "/trace_one.log";
  const std::string two = testing::TempDir() + "/trace_two.log";
  std::ofstream(one)
    << R"({"ts":900,"host":"h1","event":"catalog_applied","version":"7"})"
    << "\n"
    << R"({"ts":1000,"host":"h1","event":"placed","request":"r1","program":"p"})"
    << "\n"
    << R"(prefix {"ts":1003,"host":"h1","event":"broken","request":"r1",)"
    << R"("error":"stale_connection"})"
    << "\n{cut\n"
    << R"({"ts":1001,"host":"h1","event":"placed","request":"r2","program":"q"})"
    << "\n";
  std::ofstream(two)
    << R"({"ts":1002,"host":"h2","event":"budget_spent","program":"club/p"})"
    << "\n"
    << R"({"ts":950,"host":"h3","event":"dependency_lost","dependency":"x"})"
    << "\n";
  {
    SCOPED_TRACE("a request, with the state changes of its host before");
    EXPECT_EQ(this->RunAs("ana", { "trace", "r1", one, two }), ExitCode::kOk);
    EXPECT_EQ(this->out.str(),
              "-100 ms  h1  catalog_applied  version=7\n"
              "+0 ms  h1  placed  program=p  request=r1\n"
              "+3 ms  h1  broken  error=stale_connection  request=r1\n"
              "1 lines could not be read\n");
  }
  {
    SCOPED_TRACE("a program, over the hosts that logged it");
    EXPECT_EQ(this->RunAs("ana", { "trace", "p", one, two }), ExitCode::kOk);
    EXPECT_NE(this->out.str().find("+2 ms  h2  budget_spent"),
              std::string::npos);
    EXPECT_EQ(this->out.str().find("r2"), std::string::npos);
    EXPECT_EQ(this->out.str().find("h3"), std::string::npos);
  }
  {
    SCOPED_TRACE("unknown ids and missing files are reported");
    EXPECT_EQ(this->RunAs("ana", { "trace", "r9", one }), ExitCode::kNotFound);
    EXPECT_EQ(this->RunAs("ana", { "trace", "r1", one + ".none" }),
              ExitCode::kNotFound);
  }
}

TEST_F(OperatorCommands, StatusProgramsAndDrainCallDaemons)
{
  AppendMemberJoined("h1");
  AppendMemberJoined("h2");
  daemons["http://h1:1/status"] = R"({"host": "h1", "ready": true})";
  daemons["http://h1:1/programs"] = R"([{"id": "p", "turns": 2}])";
  daemons["http://h1:1/drain"] = "";
  EXPECT_EQ(RunAs("ann", { "status" }), ExitCode::kUnreachable);
  EXPECT_NE(out.str().find("host=h1 ready=true"), std::string::npos);
  EXPECT_NE(out.str().find("unreachable: h2 at h2:1: refused"),
            std::string::npos);
  daemons["http://h2:1/programs"] = R"([{"id": "p", "turns": 2}])";
  EXPECT_EQ(RunAs("ann", { "programs" }), ExitCode::kOk);
  EXPECT_EQ(out.str(), "id=p turns=2\n");
  EXPECT_EQ(RunAs("ann", { "drain", "h1" }), ExitCode::kOk);
  EXPECT_EQ(fetchedCalls.back(), "POST http://h1:1/drain");
  EXPECT_EQ(RunAs("ann", { "drain", "h2" }), ExitCode::kUnreachable);
  EXPECT_EQ(RunAs("ann", { "drain", "h3" }), ExitCode::kNotFound);
}

TEST_F(OperatorCommands, RemoveRefusesHostsThatAnswerOrRenew)
{
  AppendMemberJoined("h1");
  AppendMemberJoined("h2");
  daemons["http://h1:1/status"] = R"({"host": "h1"})";
  EXPECT_EQ(RunAs("ann", { "remove", "h3" }), ExitCode::kNotFound);
  EXPECT_EQ(RunAs("ann", { "remove", "h1" }), ExitCode::kConflict);
  EXPECT_EQ(log.texts.size(), 2U) << "a host that answers is not removed";
  {
    SCOPED_TRACE("a host that renews its lease meanwhile is not removed");
    log.onNextAppend = [this] {
      this->log.Append({ EncodeRecord({ { "h2", "i", 2 }, MemberRenewed{} }) });
    };
    EXPECT_EQ(RunAs("ann", { "remove", "h2" }), ExitCode::kConflict);
  }
  EXPECT_EQ(RunAs("ann", { "remove", "h2" }), ExitCode::kOk) << err.str();
  EXPECT_EQ(RunAs("ann", { "remove", "h2" }), ExitCode::kNotFound);
}

TEST_F(OperatorCommands, ExplainsRefusalsAndReportsUsageErrors)
{
  EXPECT_EQ(RunAs("ann", { "explain", "outcome_unknown" }), ExitCode::kOk);
  EXPECT_NE(out.str().find("may have run"), std::string::npos);
  EXPECT_EQ(RunAs("ann", { "explain", "no_such" }), ExitCode::kNotFound);
  EXPECT_EQ(RunAs("ann", {}), ExitCode::kUsage);
  EXPECT_EQ(RunAs("ann", { "key", "lose" }), ExitCode::kUsage);
  EXPECT_EQ(RunAs("ann", { "apply" }), ExitCode::kUsage);
  EXPECT_EQ(RunAs("ann", { "key", "issue", "stopa" }), ExitCode::kUsage);
}

TEST(ExitCodes, ExitTableIsIndexedByCode)
{
  for (size_t i = 0; i < ExitTable().size(); ++i) {
    EXPECT_EQ(size_t(ExitTable()[i].code), i);
    EXPECT_NE(HelpText().find(ExitTable()[i].meaning), std::string::npos);
  }
}

TEST(Flags, RejectsUnknownFlagsAndStopsAtDoubleDash)
{
  auto parsed = ParseFlags({ "apply", "--no_such_flag=1" });
  EXPECT_TRUE(std::holds_alternative<UsageError>(parsed));
  parsed = ParseFlags({ "apply", "--", "--file" });
  EXPECT_EQ(std::get<Words>(parsed), (Words{ "apply", "--file" }));
}

} // namespace
} // namespace tanagerseam
