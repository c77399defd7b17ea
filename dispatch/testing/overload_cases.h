// Cases of overload that several test programs run.
#ifndef TANAGERSEAM_DISPATCH_TESTING_OVERLOAD_CASES_H_
#define TANAGERSEAM_DISPATCH_TESTING_OVERLOAD_CASES_H_

#include <gtest/gtest.h>

#include "dispatch/testing/overload_model.h"

namespace tanagerseam {

inline std::unique_ptr<OverloadModel>
RunDay(OverloadDay aDay, bool aContention)
{
  aDay.contention = aContention;
  auto model = std::make_unique<OverloadModel>(aDay);
  model->Run();
  return model;
}

class OverloadTest : public testing::TestWithParam<size_t>
{
protected:
  OverloadDay BurstDay() const
  {
    OverloadDay day;
    day.hosts = GetParam();
    if (day.hosts > 100) {
      day.durationMillis = 3500;
      day.burstFromMillis = 1000;
      day.burstUntilMillis = 3000;
    }
    return day;
  }

  // Guards against less urgent programs that crowd out urgent ones: a burst of
  // 2.6 of the less urgent route beside one of 1.5 of the urgent one.
  void ExpectABurstOfDraftsDoesNotHarmUrgentPrograms() const
  {
    const auto basic = RunDay(this->BurstDay(), false);
    const auto adaptive = RunDay(this->BurstDay(), true);
    EXPECT_GT(adaptive->All().MeanValue(), basic->All().MeanValue() + 0.05);
    {
      SCOPED_TRACE("the urgent route is not served worse than the other one");
      EXPECT_GE(adaptive->Of(OverloadModel::kUrgent).MeanValue(),
                adaptive->Of(OverloadModel::kDrafts).MeanValue() - 0.05);
    }
    {
      SCOPED_TRACE("the goal of docs/design/contention.md for deployment A");
      EXPECT_GE(adaptive->All().MeanValue(), 0.79);
    }
    {
      SCOPED_TRACE("drafts do not starve");
      EXPECT_GT(adaptive->Of(OverloadModel::kDrafts).MeanValue(), 0.3);
    }
  }
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DISPATCH_TESTING_OVERLOAD_CASES_H_
