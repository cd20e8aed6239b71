package review;

/** The config that the operator writes at the start, with the fields of the protocol page. */
final class Config {

  static final String KEY = "s989anu6wsjnbanfqasn";

  private Config() {}

  /** Two routes: /catalogue/ is safe, /orders/ is unsafe; one tenant without a limit. */
  static String plain(int version) {
    return """
        {"version":%d,
         "routes":{"columns":["name","host","prefix","kind","timeout_s","goal_s","priority",
                              "backends","attempts","public","sticky","home_regions","service"],
          "rows":[["r-catalogue","shop.example","/catalogue/","safe",1,0.4,2,null,2,false,true,[],
                   "catalogue"],
                  ["r-orders","shop.example","/orders/","unsafe",1.2,0.6,1,null,2,false,true,[],
                   "orders"]]},
         "services":{"columns":["name","health_path","max_conns","protocol","tls","cold_start_s",
                                "cold_per_s"],
          "rows":[["catalogue","/health",360,"h1",false,3.0,4.4],
                  ["orders","/health",360,"h1",false,3.0,4.4]]},
         "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_s":3,
                   "idle_timeout_s":15},
         "tenants":{"columns":["name","api_keys","priority","rate_per_s","burst","home_regions"],
          "rows":[["cuka620",["%s"],1,0,0,[]]]}}
        """
        .formatted(version, KEY);
  }
}
