// A host's budgets over a record log that several hosts share in a test.
//
//   BudgetHost host(io, memoryLog, settings);
//   host.service.Reserve(...);
#ifndef TANAGERSEAM_PROGRAM_TESTING_BUDGET_HOST_H_
#define TANAGERSEAM_PROGRAM_TESTING_BUDGET_HOST_H_

#include <restinio/asio_include.hpp>

#include "program/program.h"

namespace tanagerseam {

struct BudgetHost
{
  BudgetHost(restinio::asio_ns::io_context& aIo,
             RecordLog& aLog,
             ProgramSettings aSettings)
    : log(aIo, aLog)
    , service(this->log, std::move(aSettings))
  {
  }

  RetryingLog log;
  BudgetService service;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PROGRAM_TESTING_BUDGET_HOST_H_
