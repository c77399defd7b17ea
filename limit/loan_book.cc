// The borrower's loans. Loans are not merged: each has its own expiry and is
// reported to the owner under its own identifier.
#include <algorithm>

#include "limit/limit.h"

namespace tanagerseam {

void
BorrowedLoans::Add(const std::string& aOrganisation,
                   const RateDecision& aDecision,
                   TimePoint aSentAt)
{
  if (aDecision.loanTokens <= 0) {
    return;
  }
  Loan loan;
  loan.id = aDecision.loanId;
  loan.tokens = aDecision.loanTokens;
  loan.expiresAt = aSentAt + aDecision.loanTerm;
  this->loans[aOrganisation].push_back(loan);
}

bool
BorrowedLoans::TryConsume(const std::string& aOrganisation, TimePoint aNow)
{
  auto found = this->loans.find(aOrganisation);
  if (found == this->loans.end()) {
    return false;
  }
  Loan* earliest = nullptr;
  for (Loan& loan : found->second) {
    const bool usable = loan.tokens > 0 && aNow < loan.expiresAt;
    if (usable &&
        (earliest == nullptr || loan.expiresAt < earliest->expiresAt)) {
      earliest = &loan;
    }
  }
  if (earliest == nullptr) {
    return false;
  }
  --earliest->tokens;
  return true;
}

int
BorrowedLoans::RemainingTokens(const std::string& aOrganisation,
                               TimePoint aNow) const
{
  auto found = this->loans.find(aOrganisation);
  if (found == this->loans.end()) {
    return 0;
  }
  int left = 0;
  for (const Loan& loan : found->second) {
    left += aNow < loan.expiresAt ? loan.tokens : 0;
  }
  return left;
}

std::vector<ClosedLoan>
BorrowedLoans::TakeClosed(TimePoint aNow)
{
  std::vector<ClosedLoan> closed;
  for (auto it = this->loans.begin(); it != this->loans.end();) {
    std::vector<Loan>& held = it->second;
    auto isClosed = [&](const Loan& aLoan) {
      return aLoan.tokens == 0 || aNow >= aLoan.expiresAt;
    };
    for (const Loan& loan : held) {
      if (isClosed(loan)) {
        closed.push_back({ it->first, loan.id, loan.tokens });
      }
    }
    held.erase(std::remove_if(held.begin(), held.end(), isClosed), held.end());
    it = held.empty() ? this->loans.erase(it) : std::next(it);
  }
  return closed;
}

std::vector<ClosedLoan>
BorrowedLoans::TakeAll()
{
  std::vector<ClosedLoan> all;
  for (const auto& [organisation, held] : this->loans) {
    for (const Loan& loan : held) {
      all.push_back({ organisation, loan.id, loan.tokens });
    }
  }
  this->loans.clear();
  return all;
}

} // namespace tanagerseam
