// HTTP calls to the admin addresses of daemons.
#ifndef TANAGERSEAM_CLI_DAEMONS_H_
#define TANAGERSEAM_CLI_DAEMONS_H_

#include <map>
#include <string>
#include <vector>

#include "cli/command.h"
#include "cli/config_log.h"

namespace tanagerseam {

// Returns the JSON body of a response with status 2xx; a discarded value if the
// body of a response to another method than GET is no JSON. The detail of a
// refusal gives host and address.
Result<Json>
CallDaemon(const CommandContext& aContext,
           const Member& aMember,
           const std::string& aMethod,
           const std::string& aPath);

// A daemon that is unreachable or has an old configuration version.
struct DaemonProblem
{
  std::string host;
  std::string detail;
};

// Returns the members whose status reports a version below aVersion, and those
// that are unreachable.
std::vector<DaemonProblem>
FindLagging(const CommandContext& aContext,
            const std::map<std::string, Member>& aMembers,
            int64_t aVersion);

// Polls until every member has aVersion or options.timeout has passed; returns
// the members without it. Each round replays the log first, so daemons that
// left are not waited for; while the log is unavailable, the last known members
// are polled. Daemons are polled sequentially, so the last round may end late
// by one call timeout per unreachable member.
std::vector<DaemonProblem>
WaitForDaemons(const CommandContext& aContext,
               ConfigLog& aLog,
               int64_t aVersion);

// Prints a change that is in force. With --wait, first waits for all daemons
// and adds those that lag.
ExitCode
ReportChange(const CommandContext& aContext,
             ConfigLog& aLog,
             Json aJson,
             std::vector<std::string> aLines);

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_DAEMONS_H_
