// The kernel: what every other library stands on.
//
// Usage:
//
//   using namespace tanagerseam;
//
//   Result<int> ParsePort(const std::string& aText)
//   {
//     if (aText.empty()) {
//       return MakeRefusal(RefusalReason::kMalformedRequest, "port is empty");
//     }
//     return std::stoi(aText);
//   }
//
//   auto port = ParsePort("80");
//   if (auto* refusal = std::get_if<Refusal>(&port)) { ... }
//
// Parts: result.h (refusals and results), findings.h (errors of settings with
// their place), clock.h (time as an argument), registry.h (plug-ins that
// register themselves by name), worker_pool.h (blocking tasks on a bounded
// pool), metrics.h (counters, histograms, text exposition), log.h (JSON lines),
// digest.h (hashes and random identifiers).
#ifndef TANAGERSEAM_KERNEL_KERNEL_H_
#define TANAGERSEAM_KERNEL_KERNEL_H_

#include "kernel/clock.h"
#include "kernel/digest.h"
#include "kernel/findings.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/registry.h"
#include "kernel/result.h"
#include "kernel/worker_pool.h"

#endif // TANAGERSEAM_KERNEL_KERNEL_H_
