package review2;

import java.util.List;

/** Settings like those of a small deployment, after a site file. */
final class Site {
  List<Platform.Offer> offers;
  List<String> zones;
  String teams;
  String objectives;
  double reportSeconds = 3.0;
  double leaseSeconds;
  double cancelSeconds;
  double gangWaitSeconds;
  double gangPeerSeconds;
  double rps;
  double writeRps = 25.0;
  double valueKb = 8.0;
  int txnOps = 8;
  double listLagSeconds = 3.0;
  double cpuShare;
  double clockOffMillis;

  static final MachineType KESTREL = new MachineType("kestrel", 4, 8, 0.27, 0.1, 30, 0.8, 50);
  static final MachineType OSPREY = new MachineType("osprey", 8, 16, 0.55, 0.2, 70, 0.4, 50);
  static final MachineType HERON = new MachineType("heron", 16, 64, 1.19, 0.4, 70, 1.0, 25);
  static final MachineType POLDER = new MachineType("polder", 16, 128, 0.85, 0.24, 70, 1.0, 30);
  static final MachineType DIJK = new MachineType("dijk", 64, 256, 2.86, 0.7, 30, 0.6, 30);

  /** After fraserlight-thumbs.toml. */
  static Site fraserlight(Platform.Offer... offers) {
    Site site = new Site();
    site.offers = List.of(offers);
    site.zones = List.of("burnaby-east", "richmond-dock", "surrey-annex");
    site.teams = "[{\"name\":\"ingest-crew\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0}]";
    site.objectives =
        "[{\"kind\":\"deadline\",\"class\":\"posterframe-sweep\",\"share\":0.85,\"times\":1.0},"
            + "{\"kind\":\"deadline\",\"class\":\"rush-preview\",\"share\":0.96,\"times\":1.0},"
            + "{\"kind\":\"wait\",\"class\":\"rush-preview\",\"within_s\":2.0,\"share\":0.96},"
            + "{\"kind\":\"deadline\",\"class\":\"sprite-sheet\",\"share\":0.92,\"times\":1.0}]";
    site.leaseSeconds = 24.0;
    site.cancelSeconds = 54.0;
    site.gangWaitSeconds = 50.0;
    site.gangPeerSeconds = 5.0;
    site.rps = 200.0;
    site.cpuShare = 0.255;
    site.clockOffMillis = 5.0;
    return site;
  }

  /** After koelwacht-sensors.toml. */
  static Site koelwacht(Platform.Offer... offers) {
    Site site = new Site();
    site.offers = List.of(offers);
    site.zones = List.of("zwolle-hal");
    StringBuilder teams = new StringBuilder();
    for (int i = 1; i <= 8; i++) {
      teams.append(i == 1 ? "[" : ",").append("{\"name\":\"koudketen-ops-" + i + "\",\"cpus\":128.0,\"cpus_max\":384.0,\"gpus\":0.0,\"gpus_max\":0.0}");
    }
    site.teams = teams.append("]").toString();
    site.objectives =
        "[{\"kind\":\"finished\",\"class\":\"logger-intake\",\"within_s\":250.0,\"share\":0.85},"
            + "{\"kind\":\"wait\",\"class\":\"alarm-triage\",\"within_s\":15.0,\"share\":0.95},"
            + "{\"kind\":\"finished\",\"class\":\"alarm-triage\",\"within_s\":70.0,\"share\":0.95},"
            + "{\"kind\":\"guarantee\",\"within_s\":20.0,\"share\":0.92}]";
    site.leaseSeconds = 36.0;
    site.cancelSeconds = 66.0;
    site.gangWaitSeconds = 40.0;
    site.gangPeerSeconds = 4.0;
    site.rps = 70.0;
    site.cpuShare = 0.204;
    site.clockOffMillis = 100.0;
    return site;
  }
}
