// Writes the messages of the build before to a folder, one file each. Messages
// between hosts are made by that build's schema code. Records of programs and
// member entries are made by the code in program/ and daemon/, so the program
// is run only at a commit where these still write what that build wrote.
//
//   tanagerseam-record-messages --folder=tests/upgrade/messages
//
// The committed files come from the schema code of 40884841 and from a program/
// folder and member entry that had not changed since that commit.
#include <fstream>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "daemon/member_entry.h"
#include "program/program.h"
#include "program/testing/memory_log.h"
#include "tests/upgrade/previous_fleet_wire_generated.h"
#include "tests/upgrade/recorded.h"

// The name is defined by Abseil.
// NOLINTNEXTLINE(readability-identifier-naming)
ABSL_FLAG(std::string, folder, "", "folder to write to");

namespace tanagerseam::upgrade {
namespace {

namespace wire = previousfleetwire;

void
Write(const std::string& aName, const std::string& aBytes)
{
  const std::string path = absl::GetFlag(FLAGS_folder) + "/" + aName + ".bin";
  std::ofstream file(path, std::ios::binary);
  file << aBytes;
  if (!file.flush()) {
    throw std::runtime_error("can't write " + path);
  }
}

template<typename Table>
void
WriteMessage(const std::string& aName, const Table& aTable)
{
  wire::DatagramT datagram;
  datagram.host = "before";
  datagram.started = 1000;
  datagram.body.Set(Table(aTable));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Datagram::Pack(builder, &datagram));
  Write(aName,
        std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                    builder.GetSize()));
}

template<typename Entry>
std::unique_ptr<Entry>
Announced(const std::string& aId)
{
  auto entry = std::make_unique<Entry>();
  entry->id = aId;
  entry->started = 500;
  entry->announced = 1500;
  return entry;
}

wire::LoadReportT
FullReport()
{
  wire::LoadReportT report;
  report.sequence = 7;
  report.endpoints = { { 11, 3 }, { 12, 5 } };
  report.organisations = { { 21, 100, 40, 2.5, 8.5F } };
  report.store_lost = true;
  report.ready = true;
  report.call_address = "127.0.0.1:8368";
  report.leaving.push_back(Announced<wire::LeavingEndpointT>("engine-1"));
  report.rate_limits.push_back(Announced<wire::RateLimitT>("engine-2"));
  report.rate_limits.back()->calls_per_second = 12.5;
  report.rate_limits.push_back(Announced<wire::RateLimitT>("engine-3"));
  report.rate_limits.back()->unlimited = true;
  auto broken = std::make_unique<wire::BrokenCallT>();
  broken->call = "call-1";
  broken->endpoint = "engine-1";
  broken->sent = 1600;
  broken->broken = 1700;
  report.broken_calls.push_back(std::move(broken));
  auto cleared = std::make_unique<wire::ClearedCallT>();
  cleared->call = "call-2";
  cleared->sent = 1800;
  report.cleared_calls.push_back(std::move(cleared));
  auto down = std::make_unique<wire::DownEndpointT>();
  down->endpoint = "engine-4";
  down->seen = 1900;
  report.down_endpoints.push_back(std::move(down));
  report.lost_services = { "engines" };
  return report;
}

void
WriteBudgetMessages()
{
  wire::ReserveTokensT reserve;
  reserve.request = 31;
  reserve.program = "club/p";
  reserve.budget = 864;
  reserve.most = 288;
  reserve.wait_ms = 250;
  reserve.organisation = "club";
  reserve.continues = true;
  WriteMessage("reserve_tokens", reserve);
  wire::TokensReservedT reserved;
  reserved.request = 1;
  reserved.begins = true;
  WriteMessage("tokens_reserved", reserved);
  reserved.verdict = 3;
  WriteMessage("tokens_over_quota", reserved);
  wire::SettleTokensT settle;
  settle.request = 32;
  settle.reservation = 31;
  settle.used = 144;
  WriteMessage("settle_tokens", settle);
  wire::TokensSettledT settled;
  settled.request = 2;
  WriteMessage("tokens_settled", settled);
  wire::AcquireQuotaT acquire;
  acquire.request = 33;
  acquire.organisation = 21;
  WriteMessage("acquire_quota", acquire);
}

void
WriteStreamMessages()
{
  wire::StreamBeganT began;
  began.stream = 41;
  began.service = "engines";
  began.version = "v1";
  WriteMessage("stream_began", began);
  wire::FindStreamT find;
  find.request = 34;
  find.stream = 41;
  WriteMessage("find_stream", find);
  wire::StreamFoundT found;
  found.request = 1;
  WriteMessage("stream_not_found", found);
  found.service = "engines";
  found.version = "v1";
  WriteMessage("stream_found", found);
}

// The record that the log holds for a turn.
std::string
RecordOf(const CompletedTurn& aTurn, const Transcript& aPrior)
{
  restinio::asio_ns::io_context io;
  MemoryLog memory(io);
  RetryingLog log(io, memory);
  HistoryService history(log, ProgramSettings{});
  history.Store(aTurn, aPrior, BootNow() + Millis(1000), [](bool) {});
  std::string record;
  memory.Read(PartitionOf(ProgramSettings{}.turns, aTurn.id),
              0,
              Millis(1000),
              [&record](const ReadResult& aResult) {
                record = std::get<RecordPage>(aResult).records.at(0).data;
              });
  io.run();
  return record;
}

void
WriteRecords()
{
  BudgetRecord grant;
  grant.id = "before.1";
  grant.program = "club/p";
  grant.holder = "before";
  grant.tokens = 576;
  grant.budget = 864;
  Write("budget_grant", Encode(grant));
  grant.kind = BudgetRecordKind::kReturn;
  grant.id = "before.2";
  grant.tokens = 288;
  Write("budget_return", Encode(grant));
  Write("turn_inlined",
        RecordOf({ "turn-1", "club", "", "in 1\n", "out 1\n" }, nullptr));
  const auto prior =
    std::make_shared<const std::string>(std::string(kLongTurnBytes, 'x'));
  Write("turn_chained",
        RecordOf({ "turn-2", "club", "turn-1", "in 2\n", "out 2\n" }, prior));
  Write("member_entry", MemberEntryText({ "127.0.0.1:7780", "zone-a", 1000 }));
}

} // namespace
} // namespace tanagerseam::upgrade

int
main(int aCount, char** aArguments)
{
  using namespace tanagerseam::upgrade;
  absl::ParseCommandLine(aCount, aArguments);
  try {
    WriteMessage("load_report", FullReport());
    WriteMessage("load_report_empty", wire::LoadReportT{});
    WriteBudgetMessages();
    WriteStreamMessages();
    WriteRecords();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return 0;
}
