// Translates the periodic report of a host from and to its message. Private to
// this library.
#ifndef TANAGERSEAM_FLEET_REPORT_WIRE_H_
#define TANAGERSEAM_FLEET_REPORT_WIRE_H_

#include "fleet/fleet.h"
#include "fleet/fleet_wire_generated.h"

namespace tanagerseam {

// Leaves out what exceeds the limits of FleetLink.
fleetwire::LoadReportT
ReportToWire(const HostReport& aReport);

// aDatagram must hold a LoadReport.
HostReport
ReportFromWire(const fleetwire::DatagramT& aDatagram);

} // namespace tanagerseam

#endif // TANAGERSEAM_FLEET_REPORT_WIRE_H_
